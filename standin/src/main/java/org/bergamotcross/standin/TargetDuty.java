package org.bergamotcross.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Now;

/** Owns the slots, the work and the fault of a target stand-in. */
final class TargetDuty implements DutyHandler<TargetInput> {
  private static final Duration IDLE_TICK = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Executions executions;
  private final BiConsumer<Duration, Runnable> timer;
  private final BiConsumer<Duration, TargetInput> later;
  private final Function<Boolean, CompletableFuture<Void>> listening;

  private final Map<Long, TargetInput.Work> notStarted = new LinkedHashMap<>();
  private final Map<Long, TargetInput.Work> running = new LinkedHashMap<>();
  private final List<Long> stalledAtEnd = new ArrayList<>();
  private TargetFault fault = new TargetFault.None();
  private long faultSerial;
  private int slots;
  private Duration workTime;
  private boolean draining;
  private Optional<Now> coldUntil = Optional.empty();
  private double coldFactor = 1;
  private Optional<Boolean> health = Optional.empty();
  private Optional<Long> load = Optional.empty();

  /**
   * Creates the duty.
   *
   * @param timer runs a task after a time
   * @param later puts a message into the ring after a time
   * @param listening starts or ends listening without blocking
   */
  TargetDuty(
      int slots,
      Duration workTime,
      Executions executions,
      BiConsumer<Duration, Runnable> timer,
      BiConsumer<Duration, TargetInput> later,
      Function<Boolean, CompletableFuture<Void>> listening) {
    this.slots = slots;
    this.workTime = workTime;
    this.executions = executions;
    this.timer = timer;
    this.later = later;
    this.listening = listening;
  }

  @Override
  public void onMessage(TargetInput message, Now now) {
    switch (message) {
      case TargetInput.Work work -> arrived(work, now);
      case TargetInput.WorkTimeOver over -> workTimeOver(over.id());
      case TargetInput.ConnectionClosed closed -> cancel(closed.connection());
      case TargetInput.AskHealth ask ->
          ask.answer().complete(new TargetAnswer.Health(health.orElse(true), draining));
      case TargetInput.AskLoad ask ->
          ask.answer()
              .complete(new TargetAnswer.Load(slots, load.orElse((long) running.size()), draining));
      case TargetInput.Change change -> change(change, now);
      case TargetInput.FaultOver over -> {
        if (over.serial() == faultSerial) {
          setFault(new TargetFault.None(), now, new CompletableFuture<>());
        }
      }
    }
  }

  @Override
  public Duration onTick(Now now) {
    return IDLE_TICK;
  }

  private void arrived(TargetInput.Work work, Now now) {
    if (fault instanceof TargetFault.Stall) {
      notStarted.put(work.id(), work);
    } else {
      start(work, now);
    }
  }

  private void start(TargetInput.Work work, Now now) {
    Optional<TargetAnswer> refusal = refusal(work, now);
    if (refusal.isPresent()) {
      work.answer().complete(refusal.get());
      return;
    }
    running.put(work.id(), work);
    executions.put(work.id(), work.facts().at(now.wallMillis()));
    later.accept(timeFor(now), new TargetInput.WorkTimeOver(work.id()));
  }

  private Optional<TargetAnswer> refusal(TargetInput.Work work, Now now) {
    if (draining) {
      return Optional.of(notRun("draining", Optional.empty()));
    }
    if (work.deadlineMillis().filter(d -> now.wallMillis() >= d).isPresent()) {
      return Optional.of(notRun("deadline", Optional.empty()));
    }
    return running.size() >= slots
        ? Optional.of(notRun("slots", Optional.of(RETRY_AFTER)))
        : Optional.empty();
  }

  private TargetAnswer notRun(String reason, Optional<Duration> retryAfter) {
    return new TargetAnswer.NotRun(reason, retryAfter, draining);
  }

  private Duration timeFor(Now now) {
    boolean cold = coldUntil.filter(now::isBefore).isPresent();
    Duration usual = cold ? Duration.ofNanos((long) (workTime.toNanos() * coldFactor)) : workTime;
    return fault instanceof TargetFault.Slow slow ? usual.plus(slow.extra()) : usual;
  }

  private void workTimeOver(long id) {
    if (fault instanceof TargetFault.Stall && running.containsKey(id)) {
      stalledAtEnd.add(id);
      return;
    }
    TargetInput.Work work = running.remove(id);
    if (work != null) {
      executions.state(id, Execution.State.COMPLETED);
      answer(work.answer());
    }
  }

  private void answer(CompletableFuture<TargetAnswer> answer) {
    switch (fault) {
      case TargetFault.Errors ignored -> answer.complete(new TargetAnswer.Failed(draining));
      case TargetFault.CutBody ignored -> answer.complete(new TargetAnswer.Cut(draining));
      case TargetFault.LateAnswer late ->
          timer.accept(late.delay(), () -> answer.complete(new TargetAnswer.Done(false)));
      case TargetFault.EffectWithoutAnswer ignored -> {}
      case TargetFault.None ignored -> answer.complete(new TargetAnswer.Done(draining));
      case TargetFault.Slow ignored -> answer.complete(new TargetAnswer.Done(draining));
      case TargetFault.Stall ignored -> answer.complete(new TargetAnswer.Done(draining));
      case TargetFault.ConnectionRefused ignored ->
          answer.complete(new TargetAnswer.Done(draining));
    }
  }

  private void cancel(long connection) {
    notStarted.values().removeIf(work -> work.connection() == connection);
    List<Long> cancelled =
        running.values().stream()
            .filter(work -> work.connection() == connection)
            .map(TargetInput.Work::id)
            .toList();
    for (long id : cancelled) {
      running.remove(id);
      executions.state(id, Execution.State.CANCELLED);
    }
  }

  private void change(TargetInput.Change message, Now now) {
    switch (message.change()) {
      case TargetChange.SetFault set -> {
        setFault(set.fault(), now, message.applied());
        long serial = faultSerial;
        set.length().ifPresent(t -> later.accept(t, new TargetInput.FaultOver(serial)));
        return;
      }
      case TargetChange.SetDraining set -> draining = set.draining();
      case TargetChange.SetWorkTime set -> workTime = set.workTime();
      case TargetChange.SetSlots set -> slots = set.slots();
      case TargetChange.StartCold cold -> {
        coldUntil = Optional.of(now.plus(cold.length()));
        coldFactor = cold.factor();
      }
      case TargetChange.SetHealth set -> health = set.passes();
      case TargetChange.SetLoad set -> load = set.running();
    }
    message.applied().complete(null);
  }

  private void setFault(TargetFault next, Now now, CompletableFuture<Void> applied) {
    boolean wasListening = !(fault instanceof TargetFault.ConnectionRefused);
    boolean listens = !(next instanceof TargetFault.ConnectionRefused);
    fault = next;
    faultSerial++;
    if (!(next instanceof TargetFault.Stall)) {
      resume(now);
    }
    if (wasListening == listens) {
      applied.complete(null);
      return;
    }
    var unused =
        listening
            .apply(listens)
            .whenComplete(
                (done, failure) -> {
                  if (failure == null) {
                    applied.complete(null);
                  } else {
                    applied.completeExceptionally(failure);
                  }
                });
  }

  private void resume(Now now) {
    List<Long> ended = List.copyOf(stalledAtEnd);
    stalledAtEnd.clear();
    ended.forEach(this::workTimeOver);
    List<TargetInput.Work> waiting = List.copyOf(notStarted.values());
    notStarted.clear();
    waiting.forEach(work -> start(work, now));
  }
}
