package org.bergamotcross.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Now;

/** Owns the streams, the instance list and the faults of the platform stand-in. */
final class PlatformDuty implements DutyHandler<PlatformInput> {
  private static final Duration IDLE_TICK = Duration.ofSeconds(1);

  private final Map<String, RecordStream> streams = new HashMap<>();
  private final List<PlatformInput.Read> waiting = new ArrayList<>();
  private final FaultTable faults = new FaultTable();
  private final InstanceList instances;
  private final BiConsumer<Duration, Runnable> timer;
  private final BiConsumer<Duration, PlatformInput> later;
  private int retention;

  /**
   * Creates the duty.
   *
   * @param timer runs a task after a time
   * @param later puts a message into the ring after a time
   */
  PlatformDuty(
      int retention,
      Duration listLag,
      BiConsumer<Duration, Runnable> timer,
      BiConsumer<Duration, PlatformInput> later) {
    this.retention = retention;
    this.instances = new InstanceList(listLag);
    this.timer = timer;
    this.later = later;
  }

  @Override
  public void onMessage(PlatformInput message, Now now) {
    switch (message) {
      case PlatformInput.Append append -> append(append, now);
      case PlatformInput.Read read -> read(read);
      case PlatformInput.ListInstances list -> list(list, now);
      case PlatformInput.WaitOver over -> waitOver(over.read());
      case PlatformInput.Change change -> {
        change(change.change(), now);
        change.applied().complete(null);
      }
      case PlatformInput.History history ->
          history.answer().complete(stream(history.stream()).history());
    }
  }

  @Override
  public Duration onTick(Now now) {
    return IDLE_TICK;
  }

  private RecordStream stream(String name) {
    return streams.computeIfAbsent(name, n -> new RecordStream());
  }

  private void append(PlatformInput.Append append, Now now) {
    PlatformFault fault = faults.fault(append.client(), FaultScope.Direction.APPENDS);
    Optional<PlatformAnswer> refusal = refusal(fault);
    if (refusal.isPresent()) {
      append.answer().complete(refusal.get());
      return;
    }
    long offset =
        stream(append.stream()).append(append.data(), append.client(), now.wallMillis(), retention);
    answerWaiting(append.stream());
    if (!(fault instanceof PlatformFault.LoseAnswer)) {
      answer(append.answer(), new PlatformAnswer.Appended(offset), fault);
    }
  }

  private void answerWaiting(String stream) {
    List<PlatformInput.Read> ready =
        waiting.stream().filter(r -> r.stream().equals(stream) && !mustWait(r)).toList();
    waiting.removeAll(ready);
    ready.forEach(this::answerRead);
  }

  private void read(PlatformInput.Read read) {
    PlatformFault fault = faults.fault(read.client(), FaultScope.Direction.READS);
    boolean passes = refusal(fault).isEmpty() && !(fault instanceof PlatformFault.OldPage);
    if (passes && !read.longestWait().isZero() && mustWait(read)) {
      waiting.add(read);
      later.accept(read.longestWait(), new PlatformInput.WaitOver(read));
    } else {
      answerRead(read);
    }
  }

  private boolean mustWait(PlatformInput.Read read) {
    return read.from() >= stream(read.stream()).next();
  }

  private void waitOver(PlatformInput.Read read) {
    if (waiting.remove(read)) {
      answerRead(read);
    }
  }

  private void answerRead(PlatformInput.Read read) {
    PlatformFault fault = faults.fault(read.client(), FaultScope.Direction.READS);
    RecordStream stream = stream(read.stream());
    PlatformAnswer page =
        fault instanceof PlatformFault.OldPage
            ? stream.readBefore(read.from(), read.max())
            : stream.read(read.from(), read.max());
    answer(read.answer(), refusal(fault).orElse(page), fault);
  }

  private void list(PlatformInput.ListInstances list, Now now) {
    PlatformFault fault = faults.fault(list.client(), FaultScope.Direction.READS);
    PlatformAnswer answer = new PlatformAnswer.Instances(instances.visible(now));
    answer(list.answer(), refusal(fault).orElse(answer), fault);
  }

  private static Optional<PlatformAnswer> refusal(PlatformFault fault) {
    return switch (fault) {
      case PlatformFault.Outage outage ->
          Optional.of(
              outage.closeConnection()
                  ? new PlatformAnswer.CloseConnection()
                  : new PlatformAnswer.Unavailable());
      case PlatformFault.None ignored -> Optional.empty();
      case PlatformFault.Slow ignored -> Optional.empty();
      case PlatformFault.LoseAnswer ignored -> Optional.empty();
      case PlatformFault.OldPage ignored -> Optional.empty();
    };
  }

  private void answer(
      CompletableFuture<PlatformAnswer> future, PlatformAnswer answer, PlatformFault fault) {
    if (fault instanceof PlatformFault.Slow slow) {
      timer.accept(slow.delay(), () -> future.complete(answer));
    } else {
      future.complete(answer);
    }
  }

  private void change(PlatformChange change, Now now) {
    switch (change) {
      case PlatformChange.SetFault set -> {
        faults.set(set.fault(), set.scope());
        refuseWaiting();
      }
      case PlatformChange.SetRetention set -> {
        retention = set.records();
        streams.values().forEach(stream -> stream.retain(retention));
      }
      case PlatformChange.SetListLag set -> instances.lag(set.lag());
      case PlatformChange.Register register -> instances.register(register.instance(), now);
      case PlatformChange.Remove remove -> instances.remove(remove.id(), now);
    }
  }

  private void refuseWaiting() {
    List<PlatformInput.Read> refused =
        waiting.stream()
            .filter(r -> refusal(faults.fault(r.client(), FaultScope.Direction.READS)).isPresent())
            .toList();
    waiting.removeAll(refused);
    refused.forEach(this::answerRead);
  }
}
