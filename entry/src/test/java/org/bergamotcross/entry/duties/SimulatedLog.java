package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.entry.platform.PlatformClient;

/** The platform's log in simulated time, with faults for single instances or for all. */
final class SimulatedLog {
  private static final long UNREACHABLE_MILLIS = 3_000;

  private record Waiting(
      String instance,
      long from,
      int max,
      long until,
      CompletableFuture<PlatformClient.ReadResult> answer) {}

  private record Late(long at, Runnable answer) {}

  final Set<String> unreachableFor = new HashSet<>();
  final Set<String> oldPagesFor = new HashSet<>();
  boolean outage;
  long readDelayMillis;
  boolean losesAppendAnswers;
  int retention = Integer.MAX_VALUE;
  List<PlatformClient.PlatformInstance> instances = List.of();
  private final List<byte[]> records = new ArrayList<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private final List<Late> late = new ArrayList<>();
  private long millis;

  long append(ControlRecord record) {
    records.add(ControlRecordCodec.encode(record));
    return next() - 1;
  }

  long next() {
    return records.size();
  }

  long earliest() {
    return Math.max(0, next() - retention);
  }

  byte[] record(long offset) {
    return records.get((int) offset);
  }

  /** Answers the reads that are due. */
  void advance(long nowMillis) {
    millis = nowMillis;
    for (Waiting read : List.copyOf(waiting)) {
      if (isDown(read.instance())) {
        waiting.remove(read);
        fail(read);
      } else if (read.from() < next() || read.until() <= millis) {
        waiting.remove(read);
        PlatformClient.ReadResult page = page(read);
        late.add(new Late(millis + readDelayMillis, () -> read.answer().complete(page)));
      }
    }
    for (Late answer : List.copyOf(late)) {
      if (answer.at() <= millis) {
        late.remove(answer);
        answer.answer().run();
      }
    }
  }

  private boolean isDown(String instance) {
    return outage || unreachableFor.contains(instance);
  }

  private void fail(Waiting read) {
    late.add(
        new Late(
            millis + UNREACHABLE_MILLIS,
            () -> read.answer().complete(new PlatformClient.ReadResult.Unavailable("simulated"))));
  }

  private PlatformClient.ReadResult page(Waiting read) {
    if (read.from() < earliest()) {
      return new PlatformClient.ReadResult.NotRetained(earliest());
    }
    boolean old = oldPagesFor.contains(read.instance());
    long start = old ? Math.max(earliest(), read.from() - 3) : read.from();
    long end = old ? read.from() : Math.min(next(), read.from() + read.max());
    List<PlatformClient.LogRecord> page = new ArrayList<>();
    for (long offset = start; offset < end; offset++) {
      page.add(new PlatformClient.LogRecord(offset, record(offset)));
    }
    return new PlatformClient.ReadResult.Page(earliest(), old ? read.from() : next(), page);
  }

  PlatformClient client(String instance) {
    return new PlatformClient() {
      @Override
      public CompletionStage<AppendResult> append(String stream, byte[] data) {
        if (isDown(instance)) {
          return CompletableFuture.completedFuture(new AppendResult.Unavailable("simulated"));
        }
        records.add(data);
        return CompletableFuture.completedFuture(
            losesAppendAnswers
                ? new AppendResult.OutcomeUnknown("simulated")
                : new AppendResult.Appended(next() - 1));
      }

      @Override
      public CompletionStage<ReadResult> read(String stream, long from, int max, Duration wait) {
        CompletableFuture<ReadResult> answer = new CompletableFuture<>();
        waiting.add(new Waiting(instance, from, max, millis + wait.toMillis(), answer));
        return answer;
      }

      @Override
      public CompletionStage<ListResult> listInstances() {
        return CompletableFuture.completedFuture(
            isDown(instance)
                ? new ListResult.Unavailable("simulated")
                : new ListResult.Listed(instances));
      }

      @Override
      public void close() {}
    };
  }
}
