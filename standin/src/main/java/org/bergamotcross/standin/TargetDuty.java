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
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;

/** Duty that owns the slots, the running requests and the injected fault of a target stand-in. */
final class TargetDuty implements DutyHandler<TargetInput> {
  private static final Duration IDLE_TICK = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER_SLOTS_FULL = Duration.ofSeconds(1);

  private final Executions executions;
  private final BiConsumer<Duration, Runnable> taskScheduler;
  private final BiConsumer<Duration, TargetInput> messageScheduler;
  private final Function<Boolean, CompletableFuture<Void>> listenerControl;

  private final Map<Long, TargetInput.WorkRequest> stalledRequests = new LinkedHashMap<>();
  private final Map<Long, TargetInput.WorkRequest> running = new LinkedHashMap<>();
  private final List<Long> stalledCompletions = new ArrayList<>();
  private TargetFault fault = new TargetFault.None();
  private long faultSequence;
  private int slots;
  private Duration workTime;
  private boolean draining;
  private Optional<ClockReading> coldUntil = Optional.empty();
  private double coldFactor = 1;
  private Optional<Boolean> healthOverride = Optional.empty();
  private Optional<Long> loadOverride = Optional.empty();

  /**
   * Creates the duty.
   *
   * @param taskScheduler runs a task after a delay
   * @param messageScheduler puts a message into the duty's ring after a delay
   * @param listenerControl starts listening for {@code true} and stops for {@code false}, without
   *     blocking
   */
  TargetDuty(
      int slots,
      Duration workTime,
      Executions executions,
      BiConsumer<Duration, Runnable> taskScheduler,
      BiConsumer<Duration, TargetInput> messageScheduler,
      Function<Boolean, CompletableFuture<Void>> listenerControl) {
    this.slots = slots;
    this.workTime = workTime;
    this.executions = executions;
    this.taskScheduler = taskScheduler;
    this.messageScheduler = messageScheduler;
    this.listenerControl = listenerControl;
  }

  @Override
  public void onMessage(TargetInput message, ClockReading now) {
    switch (message) {
      case TargetInput.WorkRequest work -> onWorkRequest(work, now);
      case TargetInput.WorkTimeElapsed elapsed -> onWorkTimeElapsed(elapsed.id());
      case TargetInput.ConnectionClosed closed -> cancelWorkOf(closed.connection());
      case TargetInput.QueryHealth ask ->
          ask.response().complete(new TargetResponse.Health(healthOverride.orElse(true), draining));
      case TargetInput.QueryLoad ask ->
          ask.response()
              .complete(
                  new TargetResponse.Load(
                      slots, loadOverride.orElse((long) running.size()), draining));
      case TargetInput.Change change -> apply(change, now);
      case TargetInput.FaultExpired expired -> {
        if (expired.faultSequence() == faultSequence) {
          setFault(new TargetFault.None(), now, new CompletableFuture<>());
        }
      }
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    return IDLE_TICK;
  }

  private void onWorkRequest(TargetInput.WorkRequest work, ClockReading now) {
    if (fault instanceof TargetFault.Stall) {
      stalledRequests.put(work.id(), work);
    } else {
      start(work, now);
    }
  }

  private void start(TargetInput.WorkRequest work, ClockReading now) {
    Optional<TargetResponse> refusal = refusalFor(work, now);
    if (refusal.isPresent()) {
      work.response().complete(refusal.get());
      return;
    }
    running.put(work.id(), work);
    executions.add(work.id(), work.execution().withStartTime(now.wallMillis()));
    messageScheduler.accept(currentWorkTime(now), new TargetInput.WorkTimeElapsed(work.id()));
  }

  private Optional<TargetResponse> refusalFor(TargetInput.WorkRequest work, ClockReading now) {
    if (draining) {
      return Optional.of(notRun("draining", Optional.empty()));
    }
    if (work.deadlineMillis().filter(d -> now.wallMillis() >= d).isPresent()) {
      return Optional.of(notRun("deadline", Optional.empty()));
    }
    return running.size() >= slots
        ? Optional.of(notRun("slots", Optional.of(RETRY_AFTER_SLOTS_FULL)))
        : Optional.empty();
  }

  private TargetResponse notRun(String reason, Optional<Duration> retryAfter) {
    return new TargetResponse.NotRun(reason, retryAfter, draining);
  }

  private Duration currentWorkTime(ClockReading now) {
    boolean cold = coldUntil.filter(now::isBefore).isPresent();
    Duration usual = cold ? Duration.ofNanos((long) (workTime.toNanos() * coldFactor)) : workTime;
    return fault instanceof TargetFault.SlowWork slow ? usual.plus(slow.extraWorkTime()) : usual;
  }

  private void onWorkTimeElapsed(long id) {
    if (fault instanceof TargetFault.Stall && running.containsKey(id)) {
      stalledCompletions.add(id);
      return;
    }
    TargetInput.WorkRequest work = running.remove(id);
    if (work != null) {
      executions.updateState(id, Execution.State.COMPLETED);
      respond(work.response());
    }
  }

  private void respond(CompletableFuture<TargetResponse> response) {
    switch (fault) {
      case TargetFault.ErrorResponse ignored ->
          response.complete(new TargetResponse.Failed(draining));
      case TargetFault.TruncatedBody ignored ->
          response.complete(new TargetResponse.Truncated(draining));
      case TargetFault.DelayedResponse late ->
          taskScheduler.accept(
              late.delay(), () -> response.complete(new TargetResponse.Completed(false)));
      case TargetFault.LostResponse ignored -> {}
      case TargetFault.None ignored -> response.complete(new TargetResponse.Completed(draining));
      case TargetFault.SlowWork ignored ->
          response.complete(new TargetResponse.Completed(draining));
      case TargetFault.Stall ignored -> response.complete(new TargetResponse.Completed(draining));
      case TargetFault.ConnectionRefused ignored ->
          response.complete(new TargetResponse.Completed(draining));
    }
  }

  private void cancelWorkOf(long connection) {
    stalledRequests.values().removeIf(work -> work.connection() == connection);
    List<Long> cancelled =
        running.values().stream()
            .filter(work -> work.connection() == connection)
            .map(TargetInput.WorkRequest::id)
            .toList();
    for (long id : cancelled) {
      running.remove(id);
      executions.updateState(id, Execution.State.CANCELLED);
    }
  }

  private void apply(TargetInput.Change message, ClockReading now) {
    switch (message.change()) {
      case TargetChange.SetFault set -> {
        setFault(set.fault(), now, message.applied());
        long sequence = faultSequence;
        set.duration()
            .ifPresent(t -> messageScheduler.accept(t, new TargetInput.FaultExpired(sequence)));
        return;
      }
      case TargetChange.SetDraining set -> draining = set.draining();
      case TargetChange.SetWorkTime set -> workTime = set.workTime();
      case TargetChange.SetSlots set -> slots = set.slots();
      case TargetChange.StartColdPhase cold -> {
        coldUntil = Optional.of(now.plus(cold.duration()));
        coldFactor = cold.factor();
      }
      case TargetChange.OverrideHealth set -> healthOverride = set.passes();
      case TargetChange.OverrideLoad set -> loadOverride = set.running();
    }
    message.applied().complete(null);
  }

  private void setFault(TargetFault next, ClockReading now, CompletableFuture<Void> applied) {
    boolean wasListening = !(fault instanceof TargetFault.ConnectionRefused);
    boolean listens = !(next instanceof TargetFault.ConnectionRefused);
    fault = next;
    faultSequence++;
    if (!(next instanceof TargetFault.Stall)) {
      resumeStalledWork(now);
    }
    if (wasListening == listens) {
      applied.complete(null);
      return;
    }
    var unused =
        listenerControl
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

  private void resumeStalledWork(ClockReading now) {
    List<Long> completions = List.copyOf(stalledCompletions);
    stalledCompletions.clear();
    completions.forEach(this::onWorkTimeElapsed);
    List<TargetInput.WorkRequest> requests = List.copyOf(stalledRequests.values());
    stalledRequests.clear();
    requests.forEach(work -> start(work, now));
  }
}
