package org.bergamotcross.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.bergamotcross.core.config.FoldFixture.edit;
import static org.bergamotcross.core.config.FoldFixture.entry;
import static org.bergamotcross.core.config.FoldFixture.withdraw;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against readers that lose records, go back, or take an old page for the head. */
class LogReaderTest {
  private final ConfigurationFold fold = FoldFixture.fold();
  private final LogReader reader = new LogReader(fold);
  private final List<LogReader.Entry> log = new ArrayList<>();
  private final ConfigurationFold writer = FoldFixture.fold();

  private void append(ControlRecord record) {
    log.add(entry(log.size(), record));
    writer.apply(log.size() - 1, record);
  }

  private LogReader.PageResult read(int earliest) {
    if (reader.nextOffset() < earliest) {
      reader.gone(earliest);
    }
    int from = (int) Math.min(reader.nextOffset(), log.size());
    return page(from, earliest, log.size(), log.subList(from, log.size()));
  }

  private LogReader.PageResult page(
      long from, long earliest, long next, List<LogReader.Entry> entries) {
    return reader.page(new LogReader.Page(from, earliest, next, entries, false));
  }

  private void fillWithSnapshot() {
    append(edit("a", "fuel", -1, "k1,k2"));
    append(withdraw("w", "k1"));
    FoldState atOne = writer.state();
    append(edit("b", "fuel", 0, "k1,k2,k3"));
    append(new ControlRecord.Snapshot(atOne));
    append(edit("c", "glass", -1, "k4"));
  }

  @Nested
  class Head {
    @Test
    void isReachedWhenThePageEndsAtTheFoldedOffset() {
      append(withdraw("w", "k"));
      assertThat(read(0).atHead()).isTrue();
      assertThat(page(1, 0, 1, List.of()).atHead()).isTrue();
    }

    // A page of the past must neither confirm the state nor bring it back.
    @Test
    void isNotShownByAnOldPage() {
      fillWithSnapshot();
      read(0);
      FoldState before = fold.state();
      LogReader.PageResult old = page(5, 0, 2, log.subList(0, 2));
      assertThat(old.atHead()).isFalse();
      assertThat(old.steps().get(0).result()).isInstanceOf(FoldResult.AlreadyKnown.class);
      assertThat(fold.state()).isEqualTo(before);
    }

    // A page from before the record that was asked for shows the asked offset as its end.
    @Test
    void isNotShownByAPageThatRepeatsWhatWasNotAskedFor() {
      fillWithSnapshot();
      read(0);
      assertThat(page(5, 0, 5, log.subList(0, 5)).atHead()).isFalse();
      assertThat(page(5, 0, 5, List.of()).atHead()).isTrue();
    }

    // The log has shown that it holds more than the page admits.
    @Test
    void isNotShownByAPageThatEndsBeforeAKnownRecord() {
      append(withdraw("w", "k"));
      reader.appended(3);
      assertThat(read(0).atHead()).isFalse();
    }

    @Test
    void isNotShownByAPageWithMoreBehindIt() {
      append(withdraw("w", "k"));
      assertThat(reader.page(new LogReader.Page(0, 0, 1, log, true)).atHead()).isFalse();
      assertThat(page(1, 0, 2, List.of()).atHead()).isFalse();
    }
  }

  @Nested
  class ReadersPastTheRetention {
    @Test
    void startAtASnapshotThatLeavesNoRecordOut() {
      fillWithSnapshot();
      read(2);
      assertThat(fold.offset()).isEqualTo(1);
      assertThat(read(2).atHead()).isTrue();
      assertThat(fold.state()).isEqualTo(writer.state());
    }

    // Record 2 lies between the snapshot and the retained records; without it the state is wrong.
    @Test
    void passOverASnapshotThatIsTooOld() {
      fillWithSnapshot();
      read(3);
      assertThat(fold.offset()).isEqualTo(-1);
      assertThat(reader.isScanning()).isTrue();
      assertThat(read(3).atHead()).isFalse();
    }

    @Test
    void goOnWithTheStateOfAPeer() {
      fillWithSnapshot();
      read(3);
      reader.snapshotOfPeer(writer.state());
      assertThat(read(3).atHead()).isTrue();
      assertThat(reader.isScanning()).isFalse();
    }
  }

  @Nested
  class Snapshots {
    @Test
    void changeNothingForAReaderThatIsNotBehind() {
      fillWithSnapshot();
      read(0);
      assertThat(fold.versions()).containsExactly("fuel", 2L, "glass", 4L);
    }

    // Two writers may see different heads; the later record may hold the older state.
    @Test
    void ofTwoWritersDoNotUndoEachOther() {
      append(edit("a", "fuel", -1, "k1"));
      FoldState older = writer.state();
      append(edit("b", "fuel", 0, "k2"));
      append(new ControlRecord.Snapshot(writer.state()));
      append(new ControlRecord.Snapshot(older));
      read(0);
      assertThat(fold.versions()).containsExactly("fuel", 1L);
      LogReader late = new LogReader(FoldFixture.fold());
      late.gone(1);
      late.page(new LogReader.Page(1, 1, 4, log.subList(1, 4), false));
      assertThat(late.nextOffset()).isEqualTo(2);
    }

    @Test
    void ofAPeerThatIsNotAheadAreNotAdopted() {
      fillWithSnapshot();
      read(0);
      FoldState older = new FoldState(2, List.of(), Set.of(), fold.members(), List.of());
      assertThat(reader.snapshotOfPeer(older)).isEqualTo(new FoldResult.AlreadyKnown(4));
      assertThat(fold.versions()).containsKey("fuel");
    }
  }

  @Nested
  class RecordsOfPeers {
    @Test
    void areFoldedLikeThoseOfTheLog() {
      fillWithSnapshot();
      reader.recordsOfPeer(log.subList(0, 3));
      reader.recordsOfPeer(log.subList(1, 5));
      assertThat(fold.state()).isEqualTo(writer.state());
    }

    @Test
    void withAGapAreNotFolded() {
      fillWithSnapshot();
      reader.recordsOfPeer(log.subList(1, 3));
      assertThat(fold.offset()).isEqualTo(-1);
    }
  }
}
