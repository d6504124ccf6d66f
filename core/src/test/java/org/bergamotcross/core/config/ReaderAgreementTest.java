package org.bergamotcross.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.bergamotcross.core.config.FoldFixture.entry;
import static org.bergamotcross.core.config.FoldFixture.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against readers of the same log that reach different states. */
class ReaderAgreementTest {

  /** A log of random records and the folded state after each of them. */
  private static final class RandomLog {
    final List<LogReader.Entry> entries = new ArrayList<>();
    final List<FoldState> states = new ArrayList<>();
    final ConfigurationFold fold = FoldFixture.fold();
    int accepted;

    RandomLog(List<Integer> choices) {
      choices.forEach(choice -> append(new Random(choice)));
    }

    private void append(Random random) {
      int offset = entries.size();
      if (random.nextInt(12) == 0) {
        entries.add(new LogReader.Entry(offset, new LogReader.Content.Unreadable("damaged")));
        fold.skip(offset, "damaged");
      } else {
        ControlRecord record = record(random, offset);
        entries.add(entry(offset, record));
        if (fold.apply(offset, record) instanceof FoldResult.Accepted) {
          accepted++;
        }
      }
      states.add(fold.state());
    }

    private ControlRecord record(Random random, int offset) {
      String key = "k" + random.nextInt(6);
      String instance = "i" + random.nextInt(4);
      return switch (random.nextInt(8)) {
        case 0 -> FoldFixture.withdraw("w" + offset, key);
        case 1 -> new ControlRecord.Join(member(instance, random.nextInt(2)));
        case 2 -> new ControlRecord.Expel(member(instance, 0).id(), random.nextInt(2));
        case 3 ->
            states.isEmpty()
                ? new ControlRecord.Leave(member(instance, 0).id(), 0)
                : new ControlRecord.Snapshot(states.get(random.nextInt(states.size())));
        default -> edit(random, key);
      };
    }

    // Uses few ids, versions and keys, so that duplicates, conflicts and shared keys are frequent.
    private ControlRecord edit(Random random, String key) {
      String team = "t" + random.nextInt(2);
      long current = fold.versions().getOrDefault(team, -1L);
      long basedOn = random.nextInt(4) == 0 ? random.nextInt(10) - 1 : current;
      return FoldFixture.edit("e" + random.nextInt(40), team, basedOn, key);
    }

    FoldState state() {
      return fold.state();
    }
  }

  private RandomLog randomLog(List<Integer> choices) {
    return new RandomLog(choices);
  }

  private void readAll(LogReader reader, RandomLog log, int oldestRetained, int pageSize) {
    int size = log.entries.size();
    for (int reads = 0; reads <= 2 * size + 2; reads++) {
      if (reader.nextOffset() < oldestRetained) {
        reader.handleOffsetOutOfRange(oldestRetained);
      }
      int from = (int) Math.min(reader.nextOffset(), size);
      int to = Math.min(from + pageSize, size);
      reader.applyPage(
          new LogReader.Page(
              from, oldestRetained, size, log.entries.subList(from, to), to - from == pageSize));
    }
  }

  @Group
  class AllReaders {
    @Property(seed = "4711", tries = 300)
    void agreeForAnyPageSize(
        @ForAll @Size(min = 1, max = 60) List<@IntRange(max = 99_999) Integer> choices,
        @ForAll @IntRange(min = 1, max = 9) int pageSize) {
      RandomLog log = randomLog(choices);
      ConfigurationFold fold = FoldFixture.fold();
      LogReader reader = new LogReader(fold);
      readAll(reader, log, 0, pageSize);
      reader.applyPage(new LogReader.Page(0, 0, 1, log.entries.subList(0, 1), false));
      assertThat(fold.state()).isEqualTo(log.state());
    }

    @Property(seed = "4712", tries = 300)
    void agreeForAnyStartOffset(
        @ForAll @Size(min = 1, max = 60) List<@IntRange(max = 99_999) Integer> choices,
        @ForAll @IntRange(max = 60) int start,
        @ForAll @IntRange(min = 1, max = 9) int pageSize) {
      RandomLog log = randomLog(choices);
      int oldestRetained = Math.min(start, log.entries.size() - 1);
      ConfigurationFold fold = FoldFixture.fold();
      LogReader reader = new LogReader(fold);
      readAll(reader, log, oldestRetained, pageSize);
      if (reader.isScanning()) {
        assertThat(fold.offset()).isEqualTo(-1);
        reader.applyPeerSnapshot(log.states.get(Math.max(oldestRetained - 1, 0)));
        readAll(reader, log, oldestRetained, pageSize);
      }
      assertThat(fold.state()).isEqualTo(log.state());
    }
  }

  @Group
  class RandomLogs {
    // If the generator produced only refused records, the other properties would hold vacuously.
    @Property(seed = "4713", tries = 50)
    void containAcceptedRecords(
        @ForAll @Size(value = 60) List<@IntRange(max = 99_999) Integer> choices) {
      if (choices.stream().distinct().count() > 30) {
        assertThat(randomLog(choices).accepted).isGreaterThan(5);
      }
    }
  }
}
