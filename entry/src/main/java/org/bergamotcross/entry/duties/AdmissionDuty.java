package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.admission.BorrowingRateLimiter;
import org.bergamotcross.core.admission.ClaimCoordinator;
import org.bergamotcross.core.admission.ClaimDecision;
import org.bergamotcross.core.admission.ClaimHolder;
import org.bergamotcross.core.admission.ClaimOutcome;
import org.bergamotcross.core.admission.ClaimRequest;
import org.bergamotcross.core.admission.ClaimResponse;
import org.bergamotcross.core.admission.ClaimSyncRequest;
import org.bergamotcross.core.admission.ClaimSyncResponse;
import org.bergamotcross.core.admission.DelegatingRateLimiter;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.OffsetQuorum;
import org.bergamotcross.core.admission.OutboundMessage;
import org.bergamotcross.core.admission.RateDecision;
import org.bergamotcross.core.admission.RateLimiter;
import org.bergamotcross.core.admission.RateLimiterOutput;
import org.bergamotcross.core.admission.RateTolerance;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.RequestCheck;
import org.bergamotcross.core.admission.StoredResponse;
import org.bergamotcross.core.config.ApiKey;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.AdmissionMessage;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.Broadcasts.HeartbeatEcho;
import org.bergamotcross.entry.CallerRequest;
import org.bergamotcross.entry.RequestHandle;
import org.bergamotcross.entry.RoutingMessage;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.RingOfferResult;

/** Admits or refuses each request. All state is confined to the admission thread. */
final class AdmissionDuty implements DutyHandler<AdmissionMessage> {
  // 100,000 claims of about 300 bytes and 64 MB of stored responses fit into 256 MB
  // beside the other state.
  private static final int MAX_CLAIMS = 100_000;
  private static final long MAX_ANSWER_BYTES = 64L << 20;

  // Each wake-up of an idle process costs CPU time, which counts as control-plane overhead.
  private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(250);

  // The maximum duration of a request. A claim whose end routing has not reported this long after
  // its deadline is dropped.
  private static final Duration CLAIM_REPORT_TIMEOUT = Duration.ofSeconds(60);

  /**
   * The options of the duty.
   *
   * @param self the id of this instance
   * @param incarnation the incarnation of this process
   * @param maxTimeout the maximum duration of a request on this instance
   * @param maxWaitingRequests the maximum number of requests that wait for tokens
   * @param delegatedRates the tolerance for exceeding rates when instances delegate rate shares;
   *     empty when the members of the log's epoch hold parts of the rates
   */
  record Options(
      InstanceId self,
      long incarnation,
      Duration maxTimeout,
      int maxWaitingRequests,
      Optional<RateTolerance> delegatedRates) {}

  private final Options options;
  private final OverflowConfiguration overflowConfiguration;
  private final BiConsumer<InstanceId, Record> peerSender;
  private final Ring<RoutingMessage> routing;
  private final AdmissionReporter reporter;
  private final OffsetQuorum quorum;
  private final RateLimiter rates;
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
  private final ClaimHolder claims;
  private final PendingRequestTable pendingRequests = new PendingRequestTable();
  private final IdentityHashMap<RequestHandle, ClaimCoordinator> forwardedClaims =
      new IdentityHashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private Optional<ClockReading> freshUntil = Optional.empty();
  private Optional<ClockReading> stopLimit = Optional.empty();
  private long receivedCount;

  AdmissionDuty(
      Options options,
      OverflowConfiguration overflowConfiguration,
      BiConsumer<InstanceId, Record> peerSender,
      Ring<RoutingMessage> routing,
      AdmissionReporter reporter) {
    this.options = options;
    this.overflowConfiguration = overflowConfiguration;
    this.peerSender = peerSender;
    this.routing = routing;
    this.reporter = reporter;
    this.quorum = new OffsetQuorum(options.self());
    this.rates =
        options
            .delegatedRates()
            .<RateLimiter>map(
                tolerance ->
                    new DelegatingRateLimiter(
                        options.self(), options.maxWaitingRequests(), tolerance))
            .orElseGet(
                () ->
                    new BorrowingRateLimiter(
                        options.self(),
                        options.incarnation(),
                        quorum,
                        options.maxWaitingRequests()));
    this.claims =
        new ClaimHolder(
            options.self(), options.incarnation(), quorum, MAX_CLAIMS, MAX_ANSWER_BYTES);
  }

  @Override
  public void onMessage(AdmissionMessage message, ClockReading now) {
    overflowConfiguration.take().ifPresent(next -> configure(next, now));
    switch (message) {
      case AdmissionMessage.RequestReceived received -> checkRequest(received.request(), now);
      case AdmissionMessage.CallerDisconnected disconnected ->
          pendingRequests.find(disconnected.handle()).ifPresent(this::abandon);
      case AdmissionMessage.ClaimEnded ended ->
          endClaim(ended.request(), ended.outcome(), ended.response(), now);
      case AdmissionMessage.Internal internal -> {
        if (internal instanceof AdmissionEvent event) {
          onEvent(event, now);
        }
      }
    }
    advanceRates(now);
  }

  @Override
  public Duration onTick(ClockReading now) {
    overflowConfiguration.take().ifPresent(next -> configure(next, now));
    claims.tick(now).forEach(message -> send(message, now));
    pendingRequests
        .findAll(request -> request.claim().isPresent())
        .forEach(request -> requestClaim(request, request.claim().orElseThrow(), now));
    forwardedClaims
        .values()
        .removeIf(claim -> !now.isBefore(claim.deadline().plus(CLAIM_REPORT_TIMEOUT)));
    if (stopLimit.filter(limit -> !now.isBefore(limit)).isPresent()) {
      pendingRequests
          .findAll(request -> true)
          .forEach(request -> refuse(request, new Refusal.Stopping(), now));
    }
    advanceRates(now);
    return pendingRequests.isEmpty() && rates.isIdle()
        ? IDLE_TICK_INTERVAL
        : BorrowingRateLimiter.TICK_INTERVAL;
  }

  private void onEvent(AdmissionEvent event, ClockReading now) {
    switch (event) {
      case AdmissionEvent.ConfigurationChanged changed -> configure(changed.configuration(), now);
      case AdmissionEvent.FreshnessChanged changed -> updateFreshness(changed.freshness());
      case AdmissionEvent.HeartbeatsEchoed heartbeats ->
          heartbeats.echoed().echoes().forEach(echo -> onHeartbeatEcho(echo, now));
      case AdmissionEvent.PeerRestarted restarted ->
          updateDelegatedRates(r -> r.onPeerRestart(restarted.peer(), now));
      case AdmissionEvent.PeersChanged changed ->
          updateDelegatedRates(r -> r.setPeerView(changed.view()));
      case AdmissionEvent.FleetChanged changed ->
          updateDelegatedRates(r -> r.setOwnDelegation(changed.view().delegation(), now));
      case AdmissionEvent.PeerMessageReceived received ->
          onPeerMessage(received.from(), received.message(), now);
      case AdmissionEvent.ShutdownStarted shutdown -> {
        stopLimit = Optional.of(shutdown.limit());
        rates.release(now).forEach(message -> send(message, now));
      }
    }
  }

  private void onHeartbeatEcho(HeartbeatEcho echo, ClockReading now) {
    quorum.recordOffset(echo.peer().id(), echo.offset());
    updateDelegatedRates(
        r -> r.onDelegation(echo.peer(), echo.delegation(), echo.heartbeatSentAt(), now));
  }

  private void updateDelegatedRates(Consumer<DelegatingRateLimiter> change) {
    switch (rates) {
      case DelegatingRateLimiter delegated -> change.accept(delegated);
      // The holders are the members of the log's epoch, whether they are reachable or not.
      case BorrowingRateLimiter ignored -> {}
    }
  }

  private void configure(Configuration next, ClockReading now) {
    if (next.offset() < configuration.offset()) {
      return;
    }
    configuration = next;
    quorum.configure(next);
    rates.configure(next, now);
    claims.configure(next, now);
    pendingRequests
        .findAll(request -> request.request().key().flatMap(next::key).isEmpty())
        .stream()
        .filter(request -> request.request().key().isPresent())
        .forEach(request -> refuse(request, new Refusal.WithdrawnKey(), now));
  }

  private void updateFreshness(Freshness freshness) {
    if (freshness.source() != Freshness.Source.NONE) {
      freshUntil = Optional.of(freshness.validUntil());
      rates.setFreshUntil(freshness.validUntil());
      claims.setFreshUntil(freshness.validUntil());
    }
  }

  private boolean isFresh(ClockReading now) {
    return freshUntil.map(now::isBefore).orElse(false);
  }

  private void onPeerMessage(InstanceId from, Record message, ClockReading now) {
    switch (message) {
      case ClaimRequest request ->
          send(new OutboundMessage(from, claims.onRequest(request, now)), now);
      case ClaimResponse response -> onClaimResponse(from, response, now);
      case ClaimOutcome outcome -> claims.onOutcome(outcome, now);
      case ClaimSyncRequest sync ->
          claims
              .onSyncRequest(sync, now)
              .ifPresent(page -> send(new OutboundMessage(from, page), now));
      case ClaimSyncResponse page ->
          claims.onSyncResponse(from, page, now).ifPresent(next -> send(next, now));
      default -> rates.onMessage(from, message, now);
    }
  }

  private void send(OutboundMessage message, ClockReading now) {
    if (message.to().equals(options.self())) {
      onPeerMessage(options.self(), message.message(), now);
    } else {
      peerSender.accept(message.to(), message.message());
    }
  }

  private void checkRequest(CallerRequest request, ClockReading now) {
    RequestCheck.Request facts =
        new RequestCheck.Request(
            request.method(),
            request.host(),
            request.path(),
            request.keys(),
            request.timeout(),
            request.receivedAt());
    switch (new RequestCheck(configuration, freshUntil, options.maxTimeout()).check(facts, now)) {
      case RequestCheck.Result.Passed passed -> acceptChecked(request, passed, now);
      case RequestCheck.Result.Refused refused -> {
        reporter.reportRefused(request.id(), Optional.empty(), refused.refusal());
        request.handle().refuse(refused.refusal());
      }
    }
  }

  private void acceptChecked(
      CallerRequest request, RequestCheck.Result.Passed passed, ClockReading now) {
    Optional<OrganisationId> caller = passed.key().map(ApiKey::organisation);
    Optional<Organisation> organisation = caller.flatMap(configuration::organisation);
    boolean claimed =
        caller.isPresent() && !passed.idempotent() && request.idempotencyKey().isPresent();
    PendingRequest pending =
        new PendingRequest(
            options.incarnation() + "-" + receivedCount++,
            new AdmittedRequest(
                request,
                caller,
                passed.key().map(ApiKey::hash),
                passed.route().choosePool(random.nextDouble()),
                organisation
                    .flatMap(Organisation::priority)
                    .orElse(passed.route().limits().priority()),
                passed.route(),
                passed.idempotent(),
                claimed,
                passed.deadline()),
            now);
    if (caller.isPresent() && organisation.isEmpty()) {
      refuse(pending, new Refusal.UnknownKey(), now);
      return;
    }
    pendingRequests.add(pending);
    if (organisation.isEmpty()) {
      forward(pending, now);
      return;
    }
    RateDecision decision =
        rates.tryAdmit(pending.uniqueId(), organisation.get(), passed.deadline(), now);
    if (decision instanceof RateDecision.Queued) {
      reporter.reportWaiting(pending);
    } else {
      applyRateDecision(pending, decision, now);
    }
  }

  private void applyRateDecision(PendingRequest request, RateDecision decision, ClockReading now) {
    switch (decision) {
      case RateDecision.Admitted admitted -> {
        request.setTokenOrigin(admitted.origin());
        if (request.needsClaim()) {
          startClaim(request, now);
        } else {
          forward(request, now);
        }
      }
      case RateDecision.Refused refused -> refuse(request, refused.refusal(), now);
      case RateDecision.Queued ignored -> {}
    }
  }

  private void startClaim(PendingRequest request, ClockReading now) {
    AdmittedRequest admitted = request.request();
    ClaimCoordinator coordinator =
        new ClaimCoordinator(
            attemptId(request),
            admitted.organisation().orElseThrow(),
            claimKey(admitted.request()),
            admitted.deadline(),
            now);
    request.setClaim(coordinator);
    requestClaim(request, coordinator, now);
  }

  // Method and path are part of the claim key: a caller that reuses an idempotency key for a
  // different request must not get the response to the first one.
  private static String claimKey(CallerRequest request) {
    return String.join(
        "\n", request.method(), request.path(), request.idempotencyKey().orElseThrow());
  }

  private String attemptId(PendingRequest request) {
    return options.self() + "-" + request.uniqueId();
  }

  private void requestClaim(
      PendingRequest request, ClaimCoordinator coordinator, ClockReading now) {
    coordinator.dueRequests(configuration.members(), now).forEach(message -> send(message, now));
    applyClaimDecision(request, coordinator, now);
  }

  private void onClaimResponse(InstanceId from, ClaimResponse response, ClockReading now) {
    String prefix = options.self() + "-";
    if (!response.attempt().startsWith(prefix)) {
      return;
    }
    pendingRequests
        .find(response.attempt().substring(prefix.length()))
        .ifPresent(
            request ->
                request
                    .claim()
                    .ifPresent(
                        coordinator -> {
                          coordinator.onResponse(from, response);
                          applyClaimDecision(request, coordinator, now);
                        }));
  }

  private void applyClaimDecision(
      PendingRequest request, ClaimCoordinator coordinator, ClockReading now) {
    Optional<ClaimDecision> decision = coordinator.decide(isFresh(now), now);
    if (decision.isEmpty()) {
      return;
    }
    switch (decision.get()) {
      case ClaimDecision.Send ignored -> {
        reporter.reportClaimGranted(request, attemptId(request));
        forward(request, now);
      }
      case ClaimDecision.ReplayStored stored -> {
        reporter.reportClaimAnswered(request);
        releaseUnsent(request, now);
        request.request().request().handle().replay(stored.response());
      }
      case ClaimDecision.Refuse refused -> refuse(request, refused.refusal(), now);
    }
  }

  private void forward(PendingRequest request, ClockReading now) {
    RoutingMessage.RequestAdmitted message = new RoutingMessage.RequestAdmitted(request.request());
    if (routing.offer(message) instanceof RingOfferResult.Full full) {
      refuse(request, new Refusal.Overloaded(full.ring()), now);
      return;
    }
    reporter.reportAdmitted(request, now);
    pendingRequests.remove(request);
    request
        .claim()
        .ifPresent(claim -> forwardedClaims.put(request.request().request().handle(), claim));
  }

  private void refuse(PendingRequest request, Refusal refusal, ClockReading now) {
    AdmittedRequest admitted = request.request();
    reporter.reportRefused(admitted.request().id(), admitted.organisation(), refusal);
    releaseUnsent(request, now);
    admitted.request().handle().refuse(refusal);
  }

  private void abandon(PendingRequest request) {
    reporter.reportAbandoned(request);
    releaseUnsent(request, request.pendingSince());
  }

  /** Removes a pending request that was not sent, and releases its token request and its claim. */
  private void releaseUnsent(PendingRequest request, ClockReading now) {
    pendingRequests.remove(request);
    rates.cancel(request.uniqueId());
    request
        .claim()
        .ifPresent(
            claim ->
                claim
                    .outcomeMessages(ExecutionOutcome.NOT_RUN, Optional.empty())
                    .forEach(message -> send(message, now)));
  }

  private void endClaim(
      AdmittedRequest request,
      ExecutionOutcome outcome,
      Optional<StoredResponse> response,
      ClockReading now) {
    Optional.ofNullable(forwardedClaims.remove(request.request().handle()))
        .ifPresent(
            claim -> {
              reporter.reportClaimEnded(request, outcome, response.isPresent());
              claim.outcomeMessages(outcome, response).forEach(message -> send(message, now));
            });
  }

  private void advanceRates(ClockReading now) {
    RateLimiterOutput step = rates.step(now);
    step.events().forEach(reporter::reportRateEvent);
    step.messages().forEach(message -> send(message, now));
    for (RateLimiterOutput.CompletedWait ended : List.copyOf(step.completedWaits())) {
      pendingRequests
          .find(ended.requestId())
          .ifPresent(request -> applyRateDecision(request, ended.decision(), now));
    }
  }
}
