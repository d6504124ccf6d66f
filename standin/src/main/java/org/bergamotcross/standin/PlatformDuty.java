package org.bergamotcross.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;

/** Duty that owns the streams, the instance list and the faults of the platform stand-in. */
final class PlatformDuty implements DutyHandler<PlatformInput> {
  private static final Duration IDLE_TICK = Duration.ofSeconds(1);

  private final Map<String, RecordStream> streams = new HashMap<>();
  private final List<PlatformInput.Read> longPolls = new ArrayList<>();
  private final FaultTable faults = new FaultTable();
  private final InstanceList instances;
  private final BiConsumer<Duration, Runnable> taskScheduler;
  private final BiConsumer<Duration, PlatformInput> messageScheduler;
  private int retention;

  /**
   * Creates the duty.
   *
   * @param retention the number of records that each stream keeps
   * @param listLag the delay after which a change appears in the instance list
   * @param taskScheduler runs a task after a delay
   * @param messageScheduler puts a message into the duty's ring after a delay
   */
  PlatformDuty(
      int retention,
      Duration listLag,
      BiConsumer<Duration, Runnable> taskScheduler,
      BiConsumer<Duration, PlatformInput> messageScheduler) {
    this.retention = retention;
    this.instances = new InstanceList(listLag);
    this.taskScheduler = taskScheduler;
    this.messageScheduler = messageScheduler;
  }

  @Override
  public void onMessage(PlatformInput message, ClockReading now) {
    switch (message) {
      case PlatformInput.Append append -> append(append, now);
      case PlatformInput.Read read -> read(read);
      case PlatformInput.ListInstances list -> listInstances(list, now);
      case PlatformInput.LongPollExpired expired -> onLongPollExpired(expired.read());
      case PlatformInput.Change change -> {
        apply(change.change(), now);
        change.applied().complete(null);
      }
      case PlatformInput.History history ->
          history.response().complete(stream(history.stream()).allRecords());
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    return IDLE_TICK;
  }

  private RecordStream stream(String name) {
    return streams.computeIfAbsent(name, n -> new RecordStream());
  }

  private void append(PlatformInput.Append append, ClockReading now) {
    PlatformFault fault = faults.find(append.client(), FaultScope.Operation.APPENDS);
    Optional<PlatformResponse> refusal = refusalFor(fault);
    if (refusal.isPresent()) {
      append.response().complete(refusal.get());
      return;
    }
    long offset =
        stream(append.stream()).append(append.data(), append.client(), now.wallMillis(), retention);
    answerLongPolls(append.stream());
    if (!(fault instanceof PlatformFault.LostResponse)) {
      respond(append.response(), new PlatformResponse.Appended(offset), fault);
    }
  }

  private void answerLongPolls(String stream) {
    List<PlatformInput.Read> ready =
        longPolls.stream().filter(r -> r.stream().equals(stream) && !isPastEnd(r)).toList();
    longPolls.removeAll(ready);
    ready.forEach(this::answerRead);
  }

  private void read(PlatformInput.Read read) {
    PlatformFault fault = faults.find(read.client(), FaultScope.Operation.READS);
    boolean passes = refusalFor(fault).isEmpty() && !(fault instanceof PlatformFault.StalePage);
    if (passes && !read.maxWait().isZero() && isPastEnd(read)) {
      longPolls.add(read);
      messageScheduler.accept(read.maxWait(), new PlatformInput.LongPollExpired(read));
    } else {
      answerRead(read);
    }
  }

  private boolean isPastEnd(PlatformInput.Read read) {
    return read.from() >= stream(read.stream()).nextOffset();
  }

  private void onLongPollExpired(PlatformInput.Read read) {
    if (longPolls.remove(read)) {
      answerRead(read);
    }
  }

  private void answerRead(PlatformInput.Read read) {
    PlatformFault fault = faults.find(read.client(), FaultScope.Operation.READS);
    RecordStream stream = stream(read.stream());
    PlatformResponse page =
        fault instanceof PlatformFault.StalePage
            ? stream.readStale(read.from(), read.maxRecords())
            : stream.read(read.from(), read.maxRecords());
    respond(read.response(), refusalFor(fault).orElse(page), fault);
  }

  private void listInstances(PlatformInput.ListInstances list, ClockReading now) {
    PlatformFault fault = faults.find(list.client(), FaultScope.Operation.READS);
    PlatformResponse response = new PlatformResponse.Instances(instances.visible(now));
    respond(list.response(), refusalFor(fault).orElse(response), fault);
  }

  private static Optional<PlatformResponse> refusalFor(PlatformFault fault) {
    return switch (fault) {
      case PlatformFault.Outage outage ->
          Optional.of(
              outage.closeConnection()
                  ? new PlatformResponse.CloseConnection()
                  : new PlatformResponse.Unavailable());
      case PlatformFault.None ignored -> Optional.empty();
      case PlatformFault.Latency ignored -> Optional.empty();
      case PlatformFault.LostResponse ignored -> Optional.empty();
      case PlatformFault.StalePage ignored -> Optional.empty();
    };
  }

  private void respond(
      CompletableFuture<PlatformResponse> future, PlatformResponse response, PlatformFault fault) {
    if (fault instanceof PlatformFault.Latency latency) {
      taskScheduler.accept(latency.delay(), () -> future.complete(response));
    } else {
      future.complete(response);
    }
  }

  private void apply(PlatformChange change, ClockReading now) {
    switch (change) {
      case PlatformChange.SetFault set -> {
        faults.set(set.fault(), set.scope());
        refuseLongPolls();
      }
      case PlatformChange.SetRetention set -> {
        retention = set.records();
        streams.values().forEach(stream -> stream.trim(retention));
      }
      case PlatformChange.SetListLag set -> instances.setLag(set.lag());
      case PlatformChange.Register register -> instances.register(register.instance(), now);
      case PlatformChange.Remove remove -> instances.remove(remove.id(), now);
    }
  }

  private void refuseLongPolls() {
    List<PlatformInput.Read> refused =
        longPolls.stream()
            .filter(
                r -> refusalFor(faults.find(r.client(), FaultScope.Operation.READS)).isPresent())
            .toList();
    longPolls.removeAll(refused);
    refused.forEach(this::answerRead);
  }
}
