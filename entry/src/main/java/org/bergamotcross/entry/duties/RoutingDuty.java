package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.InFlightCounts;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.core.routing.RetryDecision;
import org.bergamotcross.core.routing.RetryPolicy;
import org.bergamotcross.core.routing.RouteLatency;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.core.routing.TargetChooser;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.AttemptEvent;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.RoutingMessage;
import org.bergamotcross.entry.TargetSender;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;

/** Brings each admitted request to a target and to its end; runs on the routing thread. */
final class RoutingDuty implements DutyHandler<RoutingMessage> {
  // A shed target is free again after 100 ms, and a slot of a peer's request at any time.
  private static final Duration QUEUE_TICK = Duration.ofMillis(10);
  private static final Duration LEAST_TICK = Duration.ofMillis(1);
  // Each wake-up of an idle process costs processor time that counts as control.
  private static final Duration IDLE_TICK = Duration.ofMillis(250);
  // An attempt has two events under way at most, and half of the ring is reserved for events.
  private static final int RING_MESSAGES_PER_ATTEMPT = 4;
  private static final int FIRST_SERVER_ERROR = 500;

  private final TargetSender sender;
  private final RoutingView view;
  private final Ring<RoutingMessage> ring;
  private final RoutingReports reports;
  private final RequestTable table;
  private final int maxSent;
  private final InFlightCounts counts = new InFlightCounts();
  private final TargetChooser chooser;
  private final FailureRisk risks = new FailureRisk();
  private final PoolLoad load = new PoolLoad();
  private final OutcomeSharing outcomes;
  private final RouteLatency usual = new RouteLatency();
  private final RetryPolicy retries;
  private Configuration known = Configuration.EMPTY;
  private HealthView knownHealth = new HealthView(Map.of());
  private int sentNow;
  private long attempts;

  RoutingDuty(
      PluginContext context,
      Ring<RoutingMessage> ring,
      TargetSender sender,
      RoutingView view,
      Consumer<OutcomeMessage> peers) {
    this.sender = sender;
    this.view = view;
    this.ring = ring;
    this.reports = new RoutingReports(context);
    this.table = new RequestTable(context.settings().value(EntrySettings.QUEUE_CAPACITY));
    this.maxSent =
        context.settings().value(EntrySettings.RING_CAPACITY) / RING_MESSAGES_PER_ATTEMPT;
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    FailureDomain own = new FailureDomain(context.settings().value(EntrySettings.FAILURE_DOMAIN));
    this.outcomes = new OutcomeSharing(risks, load, peers, context.time().now());
    this.chooser = new TargetChooser(own, counts, risks, load, random);
    this.retries =
        new RetryPolicy(
            random,
            new RetryPolicy.BudgetLimits(
                context.settings().value(EntrySettings.RETRY_SHARE),
                context.settings().value(EntrySettings.RETRY_FLEET_RESERVE)));
  }

  @Override
  public void onMessage(RoutingMessage message, Now now) {
    switch (message) {
      case RoutingMessage.RequestAdmitted admitted -> accept(admitted.request(), now);
      case RoutingMessage.CallerDisconnected gone ->
          table.find(gone.handle()).ifPresent(request -> abandon(request, now));
      case RoutingMessage.Internal internal -> onInternal(internal, now);
    }
  }

  @Override
  public Duration onTick(Now now) {
    if (view.isStopOver(now)) {
      table.all().forEach(request -> cut(request, now));
    }
    table.expired(now).forEach(request -> expire(request, now));
    followConfiguration(now);
    leaveAvoidedTargets(now);
    leaveStalledTargets(now);
    table.takeDue(now).forEach(request -> dispatch(request, now));
    table.waitingPools().forEach(pool -> serve(pool, now));
    outcomes.tick(now);
    return untilNextTick(now);
  }

  private Duration untilNextTick(Now now) {
    if (!table.waitingPools().isEmpty()) {
      return QUEUE_TICK;
    }
    Duration wait =
        Stream.concat(table.nextDue().stream(), nextStall().stream())
            .min(Comparator.naturalOrder())
            .map(due -> due.since(now))
            .filter(due -> due.compareTo(IDLE_TICK) < 0)
            .orElse(IDLE_TICK);
    return wait.compareTo(LEAST_TICK) < 0 ? LEAST_TICK : wait;
  }

  private Optional<Now> nextStall() {
    return table.all().stream()
        .filter(request -> !request.isStallNoted())
        .flatMap(
            request ->
                request.stage() instanceof InHand.Stage.Sent sent
                    ? Stream.of(
                        sent.startedAt()
                            .plus(usual.stallThreshold(request.admitted().route().name())))
                    : Stream.empty())
        .min(Comparator.naturalOrder());
  }

  private void onInternal(RoutingMessage.Internal internal, Now now) {
    if (internal instanceof RoutingEvent event) {
      switch (event) {
        case RoutingEvent.Sending sending -> onSending(sending, now);
        case RoutingEvent.PeerReported reported ->
            counts.onPeerReport(reported.report().peer(), reported.report().averages(), now);
        case RoutingEvent.PeerOutcomes told -> outcomes.reported(told.outcomes(), now);
        case RoutingEvent.FleetChanged changed ->
            retries.updateInstanceCount(changed.view().instances());
      }
    }
  }

  private void accept(AdmittedRequest admitted, Now now) {
    InHand request = table.add(admitted);
    retries.onRequest(admitted.pool());
    if (!sender.isCallerWaiting(admitted)) {
      abandon(request, now);
      return;
    }
    dispatch(request, now);
  }

  /** Sends a request or puts it into the queue; those that wait already go first. */
  private void dispatch(InHand request, Now now) {
    PoolId pool = request.admitted().pool();
    if (table.next(pool).isPresent() || !sendOrRefuse(request, now)) {
      if (table.enqueue(request)) {
        reports.queued(request);
        serve(pool, now);
      } else {
        refuse(request, new Refusal.Overloaded("the queue of pool " + pool), now);
      }
    }
  }

  private void serve(PoolId pool, Now now) {
    Optional<InHand> next = table.next(pool);
    while (next.isPresent() && sendOrRefuse(next.get(), now)) {
      next = table.next(pool);
    }
  }

  /** Returns whether the request needs to wait no longer. */
  private boolean sendOrRefuse(InHand request, Now now) {
    Optional<Refusal> refusal = refusalBeforeSend(request, now);
    if (refusal.isPresent()) {
      refuse(request, refusal.get(), now);
      return true;
    }
    if (sentNow >= maxSent) {
      return false;
    }
    PoolId id = request.admitted().pool();
    Optional<Pool> pool = view.configuration().get().pool(id);
    TargetChoice choice =
        pool.map(p -> choose(request, p, now)).orElseGet(TargetChoice.NoneAvailable::new);
    return switch (choice) {
      case TargetChoice.Chosen chosen -> {
        send(request, chosen, pool.map(Pool::slots).orElse(1), now);
        yield true;
      }
      case TargetChoice.AllBusy ignored -> false;
      case TargetChoice.NoneAvailable ignored -> {
        refuse(request, new Refusal.NoTarget(id.value()), now);
        yield true;
      }
    };
  }

  private TargetChoice choose(InHand request, Pool pool, Now now) {
    return chooser.choose(
        pool, view.health().get(), request.admitted().idempotent(), request.previous(), now);
  }

  /** A request that waited may have lost its key or its instance's right to act on keys. */
  private Optional<Refusal> refusalBeforeSend(InHand request, Now now) {
    AdmittedRequest admitted = request.admitted();
    // A slot that a cut request leaves must not start another one.
    if (view.isStopOver(now)) {
      return Optional.of(new Refusal.Stopping());
    }
    if (!now.isBefore(admitted.deadline())) {
      return Optional.of(new Refusal.DeadlineBeforeSend());
    }
    if (isWithdrawn(admitted, view.configuration().get())) {
      return Optional.of(new Refusal.WithdrawnKey());
    }
    return view.isFresh(now) ? Optional.empty() : Optional.of(new Refusal.StaleConfiguration());
  }

  private void send(InHand request, TargetChoice.Chosen choice, int slots, Now now) {
    if (request.stage() instanceof InHand.Stage.Waiting) {
      table.dequeue(request);
    }
    request.startAttempt(choice.target().id());
    counts.onAttemptStarted(choice.target().id());
    sentNow++;
    String attempt = request.id() + "/" + attempts++;
    TargetSender.AttemptHandle sending =
        sender.send(
            request.admitted(),
            choice.target(),
            request.attempts(),
            slots,
            event -> ring.offerReserved(new RoutingEvent.Sending(request, attempt, event)));
    InHand.Stage.Sent sent = new InHand.Stage.Sent(attempt, choice.target(), sending, now);
    request.enter(sent);
    reports.chosen(request, sent, choice, risks.risk(choice.target().id(), now));
  }

  private void onSending(RoutingEvent.Sending message, Now now) {
    InHand request = message.request();
    switch (request.stage()) {
      case InHand.Stage.Sent sent when sent.id().equals(message.attempt()) ->
          onSent(request, sent, message.event(), now);
      case InHand.Stage.Delivering delivering
          when delivering.sent().id().equals(message.attempt()) ->
          onDelivering(request, delivering, message.event(), now);
      // The event of an attempt that was cancelled in the meantime.
      default -> {}
    }
  }

  private void onSent(InHand request, InHand.Stage.Sent sent, AttemptEvent event, Now now) {
    switch (event) {
      case AttemptEvent.ResponseHead head -> onHead(request, sent, head, now);
      case AttemptEvent.ConnectFailed ignored -> {
        outcomes.unreachable(sent.target().id(), now);
        onFailure(request, sent, new SendResult.ConnectFailed(), now);
      }
      case AttemptEvent.RequestShed shed -> {
        chooser.onShed(sent.target().id(), shed.retryAfter(), now);
        onFailure(request, sent, new SendResult.Shed(shed.retryAfter(), shed.draining()), now);
      }
      case AttemptEvent.ConnectionBroken ignored -> {
        outcomes.unreachable(sent.target().id(), now);
        onFailure(request, sent, new SendResult.Broken(), now);
      }
      // No head came before, so that there is nothing to give to the caller.
      case AttemptEvent.ResponseCompleted ignored ->
          onFailure(request, sent, new SendResult.Broken(), now);
      case AttemptEvent.BodyTooLarge tooLarge -> {
        endAttempt(request, sent, new SendResult.Cancelled(), now);
        refuse(
            request,
            new Refusal.BodyTooLarge(tooLarge.limitBytes(), ExecutionOutcome.UNKNOWN),
            now);
      }
      case AttemptEvent.CallerDisconnected ignored -> abandon(request, now);
    }
  }

  private void onHead(
      InHand request, InHand.Stage.Sent sent, AttemptEvent.ResponseHead head, Now now) {
    SendResult.Completed result = new SendResult.Completed(head.status(), head.draining());
    noteAnswer(request, sent, head.status(), now);
    switch (decide(request, sent, result, now)) {
      case RetryDecision.Retry retry -> {
        sent.sending().cancel();
        endAttempt(request, sent, result, now);
        backOff(request, result, retry.delay(), now);
      }
      case RetryDecision.GiveUp ignored -> deliver(request, sent, result, head, now);
      case RetryDecision.Deliver ignored -> deliver(request, sent, result, head, now);
      case RetryDecision.Drop ignored -> deliver(request, sent, result, head, now);
    }
  }

  private void noteAnswer(InHand request, InHand.Stage.Sent sent, int status, Now now) {
    if (status >= FIRST_SERVER_ERROR) {
      outcomes.failed(sent.target().id(), now);
    } else {
      outcomes.succeeded(sent.target().id(), now);
      usual.recordLatency(request.admitted().route().name(), now.since(sent.startedAt()));
      load.recordDuration(request.admitted().pool(), now.since(sent.startedAt()));
    }
  }

  private void deliver(
      InHand request,
      InHand.Stage.Sent sent,
      SendResult.Completed result,
      AttemptEvent.ResponseHead head,
      Now now) {
    // Reported first: a repeat that arrives after the caller has its answer must find the claim.
    if (head.answer().isPresent()) {
      reports.claimEnded(request, ExecutionOutcome.RUN, head.answer());
    }
    reports.answering(request, sent);
    request.enter(new InHand.Stage.Delivering(sent, result, now.since(sent.startedAt())));
    if (!sent.sending().deliverResponse()) {
      abandon(request, now);
    }
  }

  private void onDelivering(
      InHand request, InHand.Stage.Delivering delivering, AttemptEvent event, Now now) {
    switch (event) {
      case AttemptEvent.ResponseCompleted ignored -> {
        endAttempt(request, delivering.sent(), delivering.result(), delivering.timeToHead(), now);
        finish(request, "status-" + delivering.result().status(), ExecutionOutcome.RUN, now);
      }
      case AttemptEvent.ConnectionBroken ignored -> {
        SendResult broken = new SendResult.Broken();
        endAttempt(request, delivering.sent(), broken, delivering.timeToHead(), now);
        finish(request, "broken", ExecutionOutcome.UNKNOWN, now);
      }
      case AttemptEvent.CallerDisconnected ignored -> abandon(request, now);
      case AttemptEvent.BodyTooLarge ignored -> abandon(request, now);
      // These come before the head only.
      case AttemptEvent.ResponseHead ignored -> {}
      case AttemptEvent.ConnectFailed ignored -> {}
      case AttemptEvent.RequestShed ignored -> {}
    }
  }

  private void onFailure(InHand request, InHand.Stage.Sent sent, SendResult result, Now now) {
    RetryDecision decision = decide(request, sent, result, now);
    endAttempt(request, sent, result, now);
    switch (decision) {
      case RetryDecision.Retry retry -> backOff(request, result, retry.delay(), now);
      case RetryDecision.GiveUp giveUp -> refuse(request, giveUp.refusal(), now);
      case RetryDecision.Deliver ignored ->
          refuse(request, new Refusal.TargetFailed(sent.target().id().value()), now);
      case RetryDecision.Drop ignored -> abandon(request, now);
    }
  }

  private RetryDecision decide(InHand request, InHand.Stage.Sent sent, SendResult result, Now now) {
    AdmittedRequest admitted = request.admitted();
    return retries.decide(
        new RetryPolicy.EndedAttempt(
            admitted.pool(),
            sent.target().id(),
            request.attempts(),
            admitted.route().limits().maxAttempts(),
            repetition(admitted),
            request.mayHaveRun(),
            admitted.deadline()),
        result,
        now);
  }

  private RetryPolicy.Repeatability repetition(AdmittedRequest admitted) {
    if (!sender.isRepeatable(admitted)) {
      return RetryPolicy.Repeatability.BODY_NOT_REPLAYABLE;
    }
    return admitted.idempotent()
        ? RetryPolicy.Repeatability.IDEMPOTENT
        : RetryPolicy.Repeatability.ONLY_IF_NOT_RUN;
  }

  private void backOff(InHand request, SendResult result, Duration delay, Now now) {
    reports.retried(request, result, delay);
    table.backOff(request, now.plus(delay));
  }

  private void endAttempt(InHand request, InHand.Stage.Sent sent, SendResult result, Now now) {
    endAttempt(request, sent, result, now.since(sent.startedAt()), now);
  }

  private void endAttempt(
      InHand request, InHand.Stage.Sent sent, SendResult result, Duration timeToHead, Now now) {
    counts.onAttemptEnded(sent.target().id());
    sentNow--;
    if (RetryPolicy.mayHaveRun(result)) {
      request.noteMayHaveRun();
    }
    request.enter(new InHand.Stage.Waiting());
    reports.ended(request, sent, result, timeToHead);
    serve(request.admitted().pool(), now);
  }

  /** Sends idempotent requests again that are still open at a target that is now avoided. */
  private void leaveAvoidedTargets(Now now) {
    HealthView health = view.health().get();
    if (health.equals(knownHealth)) {
      return;
    }
    knownHealth = health;
    for (InHand request : List.copyOf(table.all())) {
      if (request.stage() instanceof InHand.Stage.Sent sent
          && health.status(sent.target().id()) instanceof TargetStatus.Unavailable avoided
          && avoided.reason() != TargetStatus.Reason.DRAINING
          && decide(request, sent, new SendResult.Broken(), now)
              instanceof RetryDecision.Retry retry) {
        sent.sending().cancel();
        endAttempt(request, sent, new SendResult.TimedOut(), now);
        backOff(request, new SendResult.TimedOut(), retry.delay(), now);
      }
    }
  }

  /** Notes attempts that last longer than usual, and sends those that may be repeated elsewhere. */
  private void leaveStalledTargets(Now now) {
    for (InHand request : List.copyOf(table.all())) {
      if (request.stage() instanceof InHand.Stage.Sent sent
          && usual.isStalled(request.admitted().route().name(), sent.startedAt(), now)
          && request.noteStall()) {
        reports.stalled(request, sent, now);
        outcomes.unreachable(sent.target().id(), now);
        if (request.admitted().idempotent()
            && decide(request, sent, new SendResult.Broken(), now)
                instanceof RetryDecision.Retry retry) {
          sent.sending().cancel();
          endAttempt(request, sent, new SendResult.TimedOut(), now);
          backOff(request, new SendResult.TimedOut(), retry.delay(), now);
        }
      }
    }
  }

  private void expire(InHand request, Now now) {
    switch (request.stage()) {
      case InHand.Stage.Sent sent -> {
        sent.sending().cancel();
        endAttempt(request, sent, new SendResult.TimedOut(), now);
        refuse(request, new Refusal.DeadlineAfterSend(sent.target().id().value()), now);
      }
      case InHand.Stage.Delivering delivering -> cutResponse(request, delivering, now);
      case InHand.Stage.Ended ignored -> {}
      case InHand.Stage.Waiting ignored -> refuse(request, new Refusal.DeadlineBeforeSend(), now);
      case InHand.Stage.BackingOff ignored ->
          refuse(request, new Refusal.DeadlineBeforeSend(), now);
    }
  }

  /** The time of a planned stop is over. */
  private void cut(InHand request, Now now) {
    switch (request.stage()) {
      case InHand.Stage.Sent sent -> {
        sent.sending().cancel();
        endAttempt(request, sent, new SendResult.Cancelled(), now);
        refuse(request, new Refusal.TargetFailed(sent.target().id().value()), now);
      }
      case InHand.Stage.Delivering delivering -> cutResponse(request, delivering, now);
      case InHand.Stage.Ended ignored -> {}
      case InHand.Stage.Waiting ignored -> refuse(request, new Refusal.Stopping(), now);
      case InHand.Stage.BackingOff ignored -> refuse(request, new Refusal.Stopping(), now);
    }
  }

  private void cutResponse(InHand request, InHand.Stage.Delivering delivering, Now now) {
    delivering.sent().sending().cancel();
    endAttempt(request, delivering.sent(), new SendResult.TimedOut(), delivering.timeToHead(), now);
    finish(request, "cut", ExecutionOutcome.UNKNOWN, now);
  }

  /** Ends a request whose caller left. */
  private void abandon(InHand request, Now now) {
    switch (request.stage()) {
      case InHand.Stage.Sent sent -> {
        sent.sending().cancel();
        endAttempt(request, sent, new SendResult.Cancelled(), now);
      }
      case InHand.Stage.Delivering delivering -> {
        delivering.sent().sending().cancel();
        endAttempt(
            request, delivering.sent(), new SendResult.Cancelled(), delivering.timeToHead(), now);
      }
      default -> {}
    }
    finish(
        request,
        "caller-gone",
        request.mayHaveRun() ? ExecutionOutcome.UNKNOWN : ExecutionOutcome.NOT_RUN,
        now);
  }

  private static boolean isWithdrawn(AdmittedRequest admitted, Configuration configuration) {
    return admitted.key().filter(key -> configuration.key(key).isEmpty()).isPresent();
  }

  private void followConfiguration(Now now) {
    Configuration present = view.configuration().get();
    if (present == known) {
      return;
    }
    known = present;
    retries.retainPools(present.pools().stream().map(Pool::id).toList());
    Set<TargetId> targets =
        present.pools().stream()
            .flatMap(pool -> pool.targets().stream())
            .map(Target::id)
            .collect(Collectors.toSet());
    risks.retainTargets(targets, now);
    load.retainTargets(targets);
    table
        .unsent(request -> isWithdrawn(request.admitted(), present))
        .forEach(request -> refuse(request, new Refusal.WithdrawnKey(), now));
  }

  /** Refuses a request; one that an earlier attempt may have run is never called "not run". */
  private void refuse(InHand request, Refusal refusal, Now now) {
    Refusal told = request.mayHaveRun() ? afterSend(request, refusal) : refusal;
    table.remove(request);
    reports.refused(request, told, now);
    reports.claimEnded(request, told.outcome(), Optional.empty());
    request.admitted().request().handle().refuse(told);
  }

  private static Refusal afterSend(InHand request, Refusal refusal) {
    if (refusal.outcome() != ExecutionOutcome.NOT_RUN) {
      return refusal;
    }
    String target = request.previous().map(Object::toString).orElse("");
    return refusal instanceof Refusal.DeadlineBeforeSend
        ? new Refusal.DeadlineAfterSend(target)
        : new Refusal.TargetFailed(target);
  }

  private void finish(InHand request, String result, ExecutionOutcome outcome, Now now) {
    table.remove(request);
    reports.claimEnded(request, outcome, Optional.empty());
    reports.completed(request, result, now);
  }
}
