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

/**
 * Simulates the platform's log and instance list in simulated time, with faults for single
 * instances or for all.
 */
final class SimulatedLog {
  private static final long UNREACHABLE_MILLIS = 3_000;

  private record PendingRead(
      String instance,
      long from,
      int max,
      long until,
      CompletableFuture<PlatformClient.ReadResult> response) {}

  private record DelayedResponse(long at, Runnable delivery) {}

  final Set<String> unreachableFor = new HashSet<>();
  final Set<String> oldPagesFor = new HashSet<>();
  boolean outage;
  long readDelayMillis;
  boolean losesAppendResponses;
  int retention = Integer.MAX_VALUE;
  List<PlatformClient.PlatformInstance> instances = List.of();
  private final List<byte[]> records = new ArrayList<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final List<DelayedResponse> delayedResponses = new ArrayList<>();
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

  /** Advances the simulated time and completes the reads that are due. */
  void advance(long nowMillis) {
    millis = nowMillis;
    for (PendingRead read : List.copyOf(pendingReads)) {
      if (isDown(read.instance())) {
        pendingReads.remove(read);
        fail(read);
      } else if (read.from() < next() || read.until() <= millis) {
        pendingReads.remove(read);
        PlatformClient.ReadResult page = page(read);
        delayedResponses.add(
            new DelayedResponse(millis + readDelayMillis, () -> read.response().complete(page)));
      }
    }
    for (DelayedResponse delayed : List.copyOf(delayedResponses)) {
      if (delayed.at() <= millis) {
        delayedResponses.remove(delayed);
        delayed.delivery().run();
      }
    }
  }

  private boolean isDown(String instance) {
    return outage || unreachableFor.contains(instance);
  }

  private void fail(PendingRead read) {
    delayedResponses.add(
        new DelayedResponse(
            millis + UNREACHABLE_MILLIS,
            () ->
                read.response().complete(new PlatformClient.ReadResult.Unavailable("simulated"))));
  }

  private PlatformClient.ReadResult page(PendingRead read) {
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
            losesAppendResponses
                ? new AppendResult.OutcomeUnknown("simulated")
                : new AppendResult.Appended(next() - 1));
      }

      @Override
      public CompletionStage<ReadResult> read(String stream, long from, int max, Duration wait) {
        CompletableFuture<ReadResult> response = new CompletableFuture<>();
        pendingReads.add(new PendingRead(instance, from, max, millis + wait.toMillis(), response));
        return response;
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
