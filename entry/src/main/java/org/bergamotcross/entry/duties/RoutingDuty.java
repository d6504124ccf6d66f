package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.bergamotcross.core.routing.PausedPoolPolicy;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.core.routing.RetryDecision;
import org.bergamotcross.core.routing.RetryPolicy;
import org.bergamotcross.core.routing.RouteLatency;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.ShedPolicy;
import org.bergamotcross.core.routing.TargetChoice;
import org.bergamotcross.core.routing.TargetChooser;
import org.bergamotcross.core.routing.TargetNotices;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.AttemptEvent;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.RoutingMessage;
import org.bergamotcross.entry.TargetSender;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;

/**
 * Dispatches each admitted request to a target, retries it and tracks it until its end. All state
 * is confined to the routing thread.
 */
final class RoutingDuty implements DutyHandler<RoutingMessage> {
  // Short, because a target that shed a request is tried again after 100 ms, and a slot used by a
  // peer's request becomes free at any time.
  private static final Duration QUEUED_TICK_INTERVAL = Duration.ofMillis(10);
  private static final Duration MIN_TICK_INTERVAL = Duration.ofMillis(1);
  // Each wake-up of an idle process costs CPU time, which counts as control-plane overhead.
  private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(250);
  // An attempt has at most two events in the ring, and half of the ring is reserved for events.
  private static final int RING_MESSAGES_PER_ATTEMPT = 4;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final TargetSender sender;
  private final PublishedState publishedState;
  private final Ring<RoutingMessage> ring;
  private final RoutingReporter reporter;
  private final RoutedRequestTable requests;
  private final int maxInFlightAttempts;
  private final InFlightCounts inFlightCounts = new InFlightCounts();
  private final TargetChooser chooser;
  private final FailureRisk risks = new FailureRisk();
  private final PoolLoad load = new PoolLoad();
  private final TargetNotices notices;
  private final OutcomeBroadcaster outcomes;
  private final RouteLatency usualDuration = new RouteLatency();
  private final RetryPolicy retries;
  // Empty with the deadline policy.
  private final Optional<PoolScheduling> scheduling;
  private Configuration appliedConfiguration = Configuration.EMPTY;
  private HealthView appliedHealth = new HealthView(Map.of());
  private int inFlightAttempts;
  private long startedAttempts;

  RoutingDuty(
      PluginContext context,
      Ring<RoutingMessage> ring,
      TargetSender sender,
      PublishedState publishedState,
      OutcomeSender peerSender) {
    this.sender = sender;
    this.publishedState = publishedState;
    this.ring = ring;
    this.reporter = new RoutingReporter(context);
    this.requests = new RoutedRequestTable(context.settings().value(EntrySettings.QUEUE_CAPACITY));
    this.maxInFlightAttempts =
        context.settings().value(EntrySettings.RING_CAPACITY) / RING_MESSAGES_PER_ATTEMPT;
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    FailureDomain ownDomain =
        new FailureDomain(context.settings().value(EntrySettings.FAILURE_DOMAIN));
    this.notices = new TargetNotices(random);
    this.outcomes = new OutcomeBroadcaster(risks, load, notices, peerSender, context.time().now());
    this.chooser = new TargetChooser(ownDomain, inFlightCounts, risks, load, notices, random);
    this.scheduling =
        EntrySettings.isFairScheduling(context.settings())
            ? Optional.of(new PoolScheduling(risks, random, context.time().now()))
            : Optional.empty();
    this.retries =
        new RetryPolicy(
            random,
            new RetryPolicy.BudgetLimits(
                context.settings().value(EntrySettings.RETRY_SHARE),
                context.settings().value(EntrySettings.RETRY_FLEET_RESERVE)));
  }

  @Override
  public void onMessage(RoutingMessage message, ClockReading now) {
    switch (message) {
      case RoutingMessage.RequestAdmitted admitted -> acceptRequest(admitted.request(), now);
      case RoutingMessage.CallerDisconnected disconnected ->
          requests.find(disconnected.handle()).ifPresent(request -> abandonRequest(request, now));
      case RoutingMessage.Internal internal -> onInternal(internal, now);
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    if (publishedState.isStopLimitReached(now)) {
      requests.all().forEach(request -> endAtStopLimit(request, now));
    }
    requests.findExpired(now).forEach(request -> expireRequest(request, now));
    applyConfigurationChange(now);
    retryAwayFromAvoidedTargets(now);
    retryAwayFromStalledTargets(now);
    requests.takeDueRetries(now).forEach(request -> dispatch(request, now));
    requests.queuedPools().forEach(pool -> serveQueue(pool, now));
    outcomes.sendIfDue(now);
    scheduling.ifPresent(policy -> reportPools(policy, now));
    return untilNextTick(now);
  }

  private void reportPools(PoolScheduling policy, ClockReading now) {
    Map<String, Long> report = policy.takeDueReport(appliedConfiguration.pools(), now);
    if (!report.isEmpty()) {
      outcomes.sendPools(report);
    }
  }

  private Duration untilNextTick(ClockReading now) {
    if (!requests.queuedPools().isEmpty()) {
      return QUEUED_TICK_INTERVAL;
    }
    Duration wait =
        Stream.concat(requests.nextDueTime().stream(), nextStallTime().stream())
            .min(Comparator.naturalOrder())
            .map(due -> due.since(now))
            .filter(due -> due.compareTo(IDLE_TICK_INTERVAL) < 0)
            .orElse(IDLE_TICK_INTERVAL);
    return wait.compareTo(MIN_TICK_INTERVAL) < 0 ? MIN_TICK_INTERVAL : wait;
  }

  private Optional<ClockReading> nextStallTime() {
    return requests.all().stream()
        .filter(request -> !request.isMarkedStalled())
        .flatMap(
            request ->
                request.stage() instanceof RoutedRequest.Stage.Sent sent
                    ? Stream.of(
                        sent.startedAt()
                            .plus(usualDuration.stallThreshold(request.admitted().route().name())))
                    : Stream.empty())
        .min(Comparator.naturalOrder());
  }

  private void onInternal(RoutingMessage.Internal internal, ClockReading now) {
    if (internal instanceof RoutingEvent event) {
      switch (event) {
        case RoutingEvent.AttemptProgressed progressed -> onAttemptProgressed(progressed, now);
        case RoutingEvent.PeerInFlightReceived received ->
            inFlightCounts.onPeerReport(
                received.report().peer(), received.report().averages(), now);
        case RoutingEvent.PeerOutcomesReceived received -> {
          outcomes.onPeerOutcomes(received.outcomes(), now);
          scheduling.ifPresent(policy -> policy.onPeerReport(received.outcomes().pools(), now));
        }
        case RoutingEvent.PeerRestarted restarted -> outcomes.sendLeavingTargets(restarted.peer());
        case RoutingEvent.FleetChanged changed ->
            retries.updateInstanceCount(changed.view().instanceCount());
      }
    }
  }

  private void acceptRequest(AdmittedRequest admitted, ClockReading now) {
    RoutedRequest request = requests.add(admitted);
    retries.onRequest(admitted.pool());
    if (!sender.isCallerWaiting(admitted)) {
      abandonRequest(request, now);
      return;
    }
    Optional<Refusal> refusal = refusalForLackOfRoom(admitted, now);
    if (refusal.isPresent()) {
      refuse(request, refusal.get(), now);
    } else {
      dispatch(request, now);
    }
  }

  private Optional<Refusal> refusalForLackOfRoom(AdmittedRequest admitted, ClockReading now) {
    Optional<Pool> pool = publishedState.configuration().get().pool(admitted.pool());
    if (scheduling.isEmpty() || pool.isEmpty()) {
      return Optional.empty();
    }
    return switch (scheduling.get().decide(admitted, pool.get(), now)) {
      case ShedPolicy.Decision.Send ignored -> Optional.empty();
      case ShedPolicy.Decision.Refuse refuse ->
          Optional.of(new Refusal.PoolFull(admitted.pool().value(), refuse.retryAfter()));
    };
  }

  /** Sends or queues a request; requests that are already queued go first. */
  private void dispatch(RoutedRequest request, ClockReading now) {
    PoolId pool = request.admitted().pool();
    if (requests.nextQueued(pool).isPresent() || !sendOrRefuse(request, now)) {
      if (requests.enqueue(request)) {
        reporter.reportQueued(request);
        serveQueue(pool, now);
      } else {
        refuse(request, new Refusal.Overloaded("the queue of pool " + pool), now);
      }
    }
  }

  private void serveQueue(PoolId pool, ClockReading now) {
    Optional<RoutedRequest> next = requests.nextQueued(pool);
    while (next.isPresent() && sendOrRefuse(next.get(), now)) {
      next = requests.nextQueued(pool);
    }
  }

  /**
   * Sends or refuses a request; returns false when it must wait, because all targets are busy or
   * too many attempts are in flight.
   */
  private boolean sendOrRefuse(RoutedRequest request, ClockReading now) {
    Optional<Refusal> refusal = refusalBeforeSend(request, now);
    if (refusal.isPresent()) {
      refuse(request, refusal.get(), now);
      return true;
    }
    if (inFlightAttempts >= maxInFlightAttempts) {
      return false;
    }
    PoolId id = request.admitted().pool();
    Optional<Pool> pool = publishedState.configuration().get().pool(id);
    TargetChoice choice =
        pool.map(p -> choose(request, p, now)).orElseGet(TargetChoice.NoneAvailable::new);
    return switch (choice) {
      case TargetChoice.Chosen chosen -> {
        startAttempt(request, chosen, pool.map(Pool::slots).orElse(1), now);
        yield true;
      }
      case TargetChoice.AllBusy ignored -> false;
      case TargetChoice.AllPaused paused -> waitOrRefuse(request, paused, now);
      case TargetChoice.NoneAvailable ignored -> {
        refuse(request, new Refusal.NoTarget(id.value()), now);
        yield true;
      }
    };
  }

  /** Refuses a request unless the first pause ends soon; returns false when it waits. */
  private boolean waitOrRefuse(
      RoutedRequest request, TargetChoice.AllPaused paused, ClockReading now) {
    AdmittedRequest admitted = request.admitted();
    if (PausedPoolPolicy.isWorthWaiting(paused.until(), admitted.deadline(), now)) {
      return false;
    }
    Duration remaining = paused.until().since(now);
    refuse(request, new Refusal.TargetsPaused(admitted.pool().value(), remaining), now);
    return true;
  }

  private TargetChoice choose(RoutedRequest request, Pool pool, ClockReading now) {
    return chooser.choose(
        pool,
        publishedState.health().get(),
        request.admitted().idempotent(),
        request.previousTarget(),
        now);
  }

  /**
   * Checks again before sending, because a key may have been withdrawn or the configuration may
   * have become stale while the request waited.
   */
  private Optional<Refusal> refusalBeforeSend(RoutedRequest request, ClockReading now) {
    AdmittedRequest admitted = request.admitted();
    // Also keeps a slot freed by a cut request from being used for another one.
    if (publishedState.isStopLimitReached(expectedEnd(admitted, now))) {
      return Optional.of(new Refusal.Stopping());
    }
    if (!now.isBefore(admitted.deadline())) {
      return Optional.of(new Refusal.DeadlineBeforeSend());
    }
    if (isWithdrawn(admitted, publishedState.configuration().get())) {
      return Optional.of(new Refusal.WithdrawnKey());
    }
    return publishedState.isFresh(now)
        ? Optional.empty()
        : Optional.of(new Refusal.StaleConfiguration());
  }

  /** Returns when an attempt that starts now will usually have its response. */
  private ClockReading expectedEnd(AdmittedRequest admitted, ClockReading now) {
    return now.plus(usualDuration.mean(admitted.route().name()).orElse(Duration.ZERO));
  }

  private void startAttempt(
      RoutedRequest request, TargetChoice.Chosen choice, int slots, ClockReading now) {
    if (request.stage() instanceof RoutedRequest.Stage.AwaitingTarget) {
      requests.dequeue(request);
    }
    request.startAttempt(choice.target().id());
    inFlightCounts.onAttemptStarted(choice.target().id());
    inFlightAttempts++;
    String attempt = request.id() + "/" + startedAttempts++;
    TargetSender.AttemptHandle sending =
        sender.send(
            request.admitted(),
            choice.target(),
            request.attemptCount(),
            slots,
            event ->
                ring.offerReserved(new RoutingEvent.AttemptProgressed(request, attempt, event)));
    RoutedRequest.Stage.Sent sent =
        new RoutedRequest.Stage.Sent(attempt, choice.target(), sending, now);
    request.enterStage(sent);
    reporter.reportAttemptStarted(request, sent, choice, risks.risk(choice.target().id(), now));
  }

  private void onAttemptProgressed(RoutingEvent.AttemptProgressed message, ClockReading now) {
    RoutedRequest request = message.request();
    switch (request.stage()) {
      case RoutedRequest.Stage.Sent sent when sent.id().equals(message.attempt()) ->
          onEventBeforeHead(request, sent, message.event(), now);
      case RoutedRequest.Stage.Delivering delivering
          when delivering.sent().id().equals(message.attempt()) ->
          onEventAfterHead(request, delivering, message.event(), now);
      // The event belongs to an attempt that was cancelled in the meantime.
      default -> {}
    }
  }

  private void onEventBeforeHead(
      RoutedRequest request, RoutedRequest.Stage.Sent sent, AttemptEvent event, ClockReading now) {
    switch (event) {
      case AttemptEvent.ResponseHead head -> onResponseHead(request, sent, head, now);
      case AttemptEvent.ConnectFailed ignored -> {
        outcomes.onUnreachable(sent.target().id(), now);
        onFailure(request, sent, new SendResult.ConnectFailed(), now);
      }
      case AttemptEvent.RequestShed shed -> {
        recordLeaving(sent.target(), shed.draining(), now);
        recordRejection(sent.target(), shed.retryAfter(), now);
        scheduling.ifPresent(policy -> policy.onRejection(request.admitted().pool()));
        onFailure(request, sent, new SendResult.Shed(shed.retryAfter(), shed.draining()), now);
      }
      case AttemptEvent.ConnectionBroken ignored -> {
        outcomes.onUnreachable(sent.target().id(), now);
        onFailure(request, sent, new SendResult.Broken(), now);
      }
      // Without a response head there is nothing to deliver to the caller.
      case AttemptEvent.ResponseCompleted ignored ->
          onFailure(request, sent, new SendResult.Broken(), now);
      case AttemptEvent.BodyTooLarge tooLarge -> {
        endAttempt(request, sent, new SendResult.Cancelled(), now);
        refuse(
            request,
            new Refusal.BodyTooLarge(tooLarge.limitBytes(), ExecutionOutcome.UNKNOWN),
            now);
      }
      case AttemptEvent.CallerDisconnected ignored -> abandonRequest(request, now);
    }
  }

  private void onResponseHead(
      RoutedRequest request,
      RoutedRequest.Stage.Sent sent,
      AttemptEvent.ResponseHead head,
      ClockReading now) {
    SendResult.Completed result = new SendResult.Completed(head.status(), head.draining());
    recordResponse(request, sent, head.status(), now);
    recordLeaving(sent.target(), head.draining(), now);
    if (head.status() == SERVICE_UNAVAILABLE && head.retryAfter().isPresent()) {
      recordRejection(sent.target(), head.retryAfter(), now);
    }
    switch (decideRetry(request, sent, result, now)) {
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

  private void recordLeaving(Target target, boolean leaving, ClockReading now) {
    if (leaving && outcomes.onLeaving(target, now)) {
      reporter.reportLeaving(target);
    }
  }

  private void recordRejection(Target target, Optional<Duration> retryAfter, ClockReading now) {
    notices.onRejected(target.id(), retryAfter, now);
    retryAfter.ifPresent(pause -> reporter.reportPaused(target, pause));
  }

  private void recordResponse(
      RoutedRequest request, RoutedRequest.Stage.Sent sent, int status, ClockReading now) {
    if (status >= MIN_SERVER_ERROR_STATUS) {
      outcomes.onFailure(sent.target().id(), now);
    } else {
      outcomes.onSuccess(sent.target().id(), now);
      usualDuration.recordLatency(request.admitted().route().name(), now.since(sent.startedAt()));
      load.recordDuration(request.admitted().pool(), now.since(sent.startedAt()));
      scheduling.ifPresent(
          policy -> policy.onResponse(request.admitted(), now.since(sent.startedAt())));
    }
  }

  private void deliver(
      RoutedRequest request,
      RoutedRequest.Stage.Sent sent,
      SendResult.Completed result,
      AttemptEvent.ResponseHead head,
      ClockReading now) {
    // Reported before the delivery: a repeated request that arrives after the caller got its
    // response must find the stored one.
    if (head.response().isPresent()) {
      reporter.reportClaimEnded(request, ExecutionOutcome.RUN, head.response());
    }
    reporter.reportResponseStarted(request, sent);
    request.enterStage(
        new RoutedRequest.Stage.Delivering(sent, result, now.since(sent.startedAt())));
    if (!sent.sending().deliverResponse()) {
      abandonRequest(request, now);
    }
  }

  private void onEventAfterHead(
      RoutedRequest request,
      RoutedRequest.Stage.Delivering delivering,
      AttemptEvent event,
      ClockReading now) {
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
      case AttemptEvent.CallerDisconnected ignored -> abandonRequest(request, now);
      case AttemptEvent.BodyTooLarge ignored -> abandonRequest(request, now);
      // These events occur only before the response head.
      case AttemptEvent.ResponseHead ignored -> {}
      case AttemptEvent.ConnectFailed ignored -> {}
      case AttemptEvent.RequestShed ignored -> {}
    }
  }

  private void onFailure(
      RoutedRequest request, RoutedRequest.Stage.Sent sent, SendResult result, ClockReading now) {
    RetryDecision decision = decideRetry(request, sent, result, now);
    endAttempt(request, sent, result, now);
    switch (decision) {
      case RetryDecision.Retry retry -> backOff(request, result, retry.delay(), now);
      case RetryDecision.GiveUp giveUp -> refuse(request, giveUp.refusal(), now);
      case RetryDecision.Deliver ignored ->
          refuse(request, new Refusal.TargetFailed(sent.target().id().value()), now);
      case RetryDecision.Drop ignored -> abandonRequest(request, now);
    }
  }

  private RetryDecision decideRetry(
      RoutedRequest request, RoutedRequest.Stage.Sent sent, SendResult result, ClockReading now) {
    AdmittedRequest admitted = request.admitted();
    return retries.decide(
        new RetryPolicy.EndedAttempt(
            admitted.pool(),
            sent.target().id(),
            request.attemptCount(),
            admitted.route().limits().maxAttempts(),
            repeatability(admitted),
            request.mayHaveRun(),
            admitted.deadline()),
        result,
        now);
  }

  private RetryPolicy.Repeatability repeatability(AdmittedRequest admitted) {
    if (!sender.isRepeatable(admitted)) {
      return RetryPolicy.Repeatability.BODY_NOT_REPLAYABLE;
    }
    return admitted.idempotent()
        ? RetryPolicy.Repeatability.IDEMPOTENT
        : RetryPolicy.Repeatability.ONLY_IF_NOT_RUN;
  }

  private void backOff(RoutedRequest request, SendResult result, Duration delay, ClockReading now) {
    reporter.reportRetry(request, result, delay);
    requests.backOff(request, now.plus(delay));
  }

  private void endAttempt(
      RoutedRequest request, RoutedRequest.Stage.Sent sent, SendResult result, ClockReading now) {
    endAttempt(request, sent, result, now.since(sent.startedAt()), now);
  }

  private void endAttempt(
      RoutedRequest request,
      RoutedRequest.Stage.Sent sent,
      SendResult result,
      Duration timeToHead,
      ClockReading now) {
    inFlightCounts.onAttemptEnded(sent.target().id());
    inFlightAttempts--;
    if (RetryPolicy.mayHaveRun(result)) {
      request.markMayHaveRun();
    }
    request.enterStage(new RoutedRequest.Stage.AwaitingTarget());
    reporter.reportAttemptEnded(request, sent, result, timeToHead);
    serveQueue(request.admitted().pool(), now);
  }

  /**
   * Cancels and retries idempotent requests in flight at a target that has become avoided. Requests
   * at a leaving target stay there.
   */
  private void retryAwayFromAvoidedTargets(ClockReading now) {
    HealthView health = publishedState.health().get();
    if (health.equals(appliedHealth)) {
      return;
    }
    appliedHealth = health;
    for (RoutedRequest request : List.copyOf(requests.all())) {
      if (request.stage() instanceof RoutedRequest.Stage.Sent sent
          && health.status(sent.target().id()) instanceof TargetStatus.Unavailable avoided
          && avoided.reason() != TargetStatus.Reason.DRAINING
          && decideRetry(request, sent, new SendResult.Broken(), now)
              instanceof RetryDecision.Retry retry) {
        sent.sending().cancel();
        endAttempt(request, sent, new SendResult.TimedOut(), now);
        backOff(request, new SendResult.TimedOut(), retry.delay(), now);
      }
    }
  }

  /**
   * Marks attempts that last longer than usual as stalled, and cancels and retries those of
   * idempotent requests.
   */
  private void retryAwayFromStalledTargets(ClockReading now) {
    for (RoutedRequest request : List.copyOf(requests.all())) {
      if (request.stage() instanceof RoutedRequest.Stage.Sent sent
          && usualDuration.isStalled(request.admitted().route().name(), sent.startedAt(), now)
          && scheduling.filter(p -> p.isLimited(request.admitted().pool())).isEmpty()
          && request.markStalled()) {
        reporter.reportStalled(request, sent, now);
        outcomes.onUnreachable(sent.target().id(), now);
        if (request.admitted().idempotent()
            && decideRetry(request, sent, new SendResult.Broken(), now)
                instanceof RetryDecision.Retry retry) {
          sent.sending().cancel();
          endAttempt(request, sent, new SendResult.TimedOut(), now);
          backOff(request, new SendResult.TimedOut(), retry.delay(), now);
        }
      }
    }
  }

  private void expireRequest(RoutedRequest request, ClockReading now) {
    switch (request.stage()) {
      case RoutedRequest.Stage.Sent sent -> {
        sent.sending().cancel();
        endAttempt(request, sent, new SendResult.TimedOut(), now);
        refuse(request, new Refusal.DeadlineAfterSend(sent.target().id().value()), now);
      }
      case RoutedRequest.Stage.Delivering delivering -> cutResponse(request, delivering, now);
      case RoutedRequest.Stage.Ended ignored -> {}
      case RoutedRequest.Stage.AwaitingTarget ignored ->
          refuse(request, new Refusal.DeadlineBeforeSend(), now);
      case RoutedRequest.Stage.BackingOff ignored ->
          refuse(request, new Refusal.DeadlineBeforeSend(), now);
    }
  }

  /** Ends a request because the time limit of the graceful shutdown is reached. */
  private void endAtStopLimit(RoutedRequest request, ClockReading now) {
    switch (request.stage()) {
      case RoutedRequest.Stage.Sent sent -> {
        sent.sending().cancel();
        endAttempt(request, sent, new SendResult.Cancelled(), now);
        refuse(request, new Refusal.TargetFailed(sent.target().id().value()), now);
      }
      case RoutedRequest.Stage.Delivering delivering -> cutResponse(request, delivering, now);
      case RoutedRequest.Stage.Ended ignored -> {}
      case RoutedRequest.Stage.AwaitingTarget ignored ->
          refuse(request, new Refusal.Stopping(), now);
      case RoutedRequest.Stage.BackingOff ignored -> refuse(request, new Refusal.Stopping(), now);
    }
  }

  private void cutResponse(
      RoutedRequest request, RoutedRequest.Stage.Delivering delivering, ClockReading now) {
    delivering.sent().sending().cancel();
    endAttempt(request, delivering.sent(), new SendResult.TimedOut(), delivering.timeToHead(), now);
    finish(request, "cut", ExecutionOutcome.UNKNOWN, now);
  }

  /** Ends a request whose caller disconnected. */
  private void abandonRequest(RoutedRequest request, ClockReading now) {
    switch (request.stage()) {
      case RoutedRequest.Stage.Sent sent -> {
        sent.sending().cancel();
        endAttempt(request, sent, new SendResult.Cancelled(), now);
      }
      case RoutedRequest.Stage.Delivering delivering -> {
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

  private void applyConfigurationChange(ClockReading now) {
    Configuration current = publishedState.configuration().get();
    if (current == appliedConfiguration) {
      return;
    }
    appliedConfiguration = current;
    List<PoolId> pools = current.pools().stream().map(Pool::id).toList();
    retries.retainPools(pools);
    scheduling.ifPresent(policy -> policy.retainPools(pools));
    Set<TargetId> targets =
        current.pools().stream()
            .flatMap(pool -> pool.targets().stream())
            .map(Target::id)
            .collect(Collectors.toSet());
    risks.retainTargets(targets, now);
    load.retainTargets(targets);
    requests
        .findUnsent(request -> isWithdrawn(request.admitted(), current))
        .forEach(request -> refuse(request, new Refusal.WithdrawnKey(), now));
  }

  /** Refuses a request; when an earlier attempt may have run, the refusal never says "not run". */
  private void refuse(RoutedRequest request, Refusal refusal, ClockReading now) {
    Refusal reported = request.mayHaveRun() ? toRefusalAfterSend(request, refusal) : refusal;
    requests.remove(request);
    reporter.reportRefused(request, reported, now);
    reporter.reportClaimEnded(request, reported.outcome(), Optional.empty());
    request.admitted().request().handle().refuse(reported);
  }

  private static Refusal toRefusalAfterSend(RoutedRequest request, Refusal refusal) {
    if (refusal.outcome() != ExecutionOutcome.NOT_RUN) {
      return refusal;
    }
    String target = request.previousTarget().map(Object::toString).orElse("");
    return refusal instanceof Refusal.DeadlineBeforeSend
        ? new Refusal.DeadlineAfterSend(target)
        : new Refusal.TargetFailed(target);
  }

  private void finish(
      RoutedRequest request, String result, ExecutionOutcome outcome, ClockReading now) {
    requests.remove(request);
    reporter.reportClaimEnded(request, outcome, Optional.empty());
    reporter.reportCompleted(request, result, now);
  }
}
