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

/**
 * Guards against readers that lose records, revert their state, or mistake a stale page for the
 * head of the log.
 */
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
      reader.handleOffsetOutOfRange(earliest);
    }
    int from = (int) Math.min(reader.nextOffset(), log.size());
    return page(from, earliest, log.size(), log.subList(from, log.size()));
  }

  private LogReader.PageResult page(
      long from, long earliest, long next, List<LogReader.Entry> entries) {
    return reader.applyPage(new LogReader.Page(from, earliest, next, entries, false));
  }

  private void appendEditsAndSnapshot() {
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

    // A stale page must neither confirm the state nor revert it.
    @Test
    void isNotShownByAStalePage() {
      appendEditsAndSnapshot();
      read(0);
      FoldState before = fold.state();
      LogReader.PageResult stalePage = page(5, 0, 2, log.subList(0, 2));
      assertThat(stalePage.atHead()).isFalse();
      assertThat(stalePage.steps().get(0).result()).isInstanceOf(FoldResult.AlreadyFolded.class);
      assertThat(fold.state()).isEqualTo(before);
    }

    // A page that was cut before the requested record was appended has the requested offset as its
    // end.
    @Test
    void isNotShownByAPageThatRepeatsUnrequestedRecords() {
      appendEditsAndSnapshot();
      read(0);
      assertThat(page(5, 0, 5, log.subList(0, 5)).atHead()).isFalse();
      assertThat(page(5, 0, 5, List.of()).atHead()).isTrue();
    }

    // An append has shown that the log contains more records than the page.
    @Test
    void isNotShownByAPageThatEndsBeforeAKnownRecord() {
      append(withdraw("w", "k"));
      reader.recordAppend(3);
      assertThat(read(0).atHead()).isFalse();
    }

    @Test
    void isNotShownByAPageWithMoreBehindIt() {
      append(withdraw("w", "k"));
      assertThat(reader.applyPage(new LogReader.Page(0, 0, 1, log, true)).atHead()).isFalse();
      assertThat(page(1, 0, 2, List.of()).atHead()).isFalse();
    }
  }

  @Nested
  class ReadersBehindTheRetention {
    @Test
    void startAtASnapshotThatLeavesNoGap() {
      appendEditsAndSnapshot();
      read(2);
      assertThat(fold.offset()).isEqualTo(1);
      assertThat(read(2).atHead()).isTrue();
      assertThat(fold.state()).isEqualTo(writer.state());
    }

    // Record 2 lies between the snapshot and the retained records; without it the state is wrong.
    @Test
    void skipASnapshotThatIsTooOld() {
      appendEditsAndSnapshot();
      read(3);
      assertThat(fold.offset()).isEqualTo(-1);
      assertThat(reader.isScanning()).isTrue();
      assertThat(read(3).atHead()).isFalse();
    }

    @Test
    void continueWithTheStateOfAPeer() {
      appendEditsAndSnapshot();
      read(3);
      reader.applyPeerSnapshot(writer.state());
      assertThat(read(3).atHead()).isTrue();
      assertThat(reader.isScanning()).isFalse();
    }
  }

  @Nested
  class Snapshots {
    @Test
    void changeNothingForAReaderThatIsNotBehind() {
      appendEditsAndSnapshot();
      read(0);
      assertThat(fold.versions()).containsExactly("fuel", 2L, "glass", 4L);
    }

    // Two writers may see different heads, so the later snapshot may contain the older state.
    @Test
    void ofTwoWritersDoNotUndoEachOther() {
      append(edit("a", "fuel", -1, "k1"));
      FoldState older = writer.state();
      append(edit("b", "fuel", 0, "k2"));
      append(new ControlRecord.Snapshot(writer.state()));
      append(new ControlRecord.Snapshot(older));
      read(0);
      assertThat(fold.versions()).containsExactly("fuel", 1L);
      LogReader lateReader = new LogReader(FoldFixture.fold());
      lateReader.handleOffsetOutOfRange(1);
      lateReader.applyPage(new LogReader.Page(1, 1, 4, log.subList(1, 4), false));
      assertThat(lateReader.nextOffset()).isEqualTo(2);
    }

    @Test
    void ofAPeerThatIsNotAheadAreNotAdopted() {
      appendEditsAndSnapshot();
      read(0);
      FoldState older = new FoldState(2, List.of(), Set.of(), fold.members(), List.of());
      assertThat(reader.applyPeerSnapshot(older)).isEqualTo(new FoldResult.AlreadyFolded(4));
      assertThat(fold.versions()).containsKey("fuel");
    }
  }

  @Nested
  class RecordsOfPeers {
    @Test
    void areFoldedLikeThoseOfTheLog() {
      appendEditsAndSnapshot();
      reader.applyPeerRecords(log.subList(0, 3));
      reader.applyPeerRecords(log.subList(1, 5));
      assertThat(fold.state()).isEqualTo(writer.state());
    }

    @Test
    void withAGapAreNotFolded() {
      appendEditsAndSnapshot();
      reader.applyPeerRecords(log.subList(1, 3));
      assertThat(fold.offset()).isEqualTo(-1);
    }
  }
}
