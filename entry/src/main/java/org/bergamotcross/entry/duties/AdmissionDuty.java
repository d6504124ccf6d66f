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
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Key;
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
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.OfferResult;
import org.bergamotcross.kernel.Ring;

/** Admits or refuses each request; all state belongs to the admission thread. */
final class AdmissionDuty implements DutyHandler<AdmissionMessage> {
  // 100,000 claims of about 300 bytes, and 64 MB of answers, fit beside the other state in 256 MB.
  private static final int MAX_CLAIMS = 100_000;
  private static final long MAX_ANSWER_BYTES = 64L << 20;

  // Each wake-up of an idle process costs processor time that counts as control.
  private static final Duration IDLE_TICK = Duration.ofMillis(250);

  // The longest request, after whose end a claim that routing did not report is forgotten.
  private static final Duration CLAIM_REPORT_LIMIT = Duration.ofSeconds(60);

  /**
   * What the duty is built from.
   *
   * @param self the own instance
   * @param incarnation the incarnation of this process
   * @param maxTimeout the longest time for a request on this instance
   * @param waitCapacity the number of requests that wait for tokens at most
   * @param delegatedRates how far rates may be exceeded when instances delegate shares of them;
   *     otherwise members of the log's epoch hold parts of them
   */
  record Options(
      InstanceId self,
      long incarnation,
      Duration maxTimeout,
      int waitCapacity,
      Optional<RateTolerance> delegatedRates) {}

  private final Options options;
  private final MissedConfiguration missed;
  private final BiConsumer<InstanceId, Record> network;
  private final Ring<RoutingMessage> routing;
  private final AdmissionReports reports;
  private final OffsetQuorum quorum;
  private final RateLimiter rates;
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
  private final ClaimHolder claims;
  private final PendingTable pending = new PendingTable();
  private final IdentityHashMap<RequestHandle, ClaimCoordinator> sent = new IdentityHashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private Optional<Now> freshUntil = Optional.empty();
  private Optional<Now> stopLimit = Optional.empty();
  private long arrived;

  AdmissionDuty(
      Options options,
      MissedConfiguration missed,
      BiConsumer<InstanceId, Record> network,
      Ring<RoutingMessage> routing,
      AdmissionReports reports) {
    this.options = options;
    this.missed = missed;
    this.network = network;
    this.routing = routing;
    this.reports = reports;
    this.quorum = new OffsetQuorum(options.self());
    this.rates =
        options
            .delegatedRates()
            .<RateLimiter>map(
                tolerance ->
                    new DelegatingRateLimiter(options.self(), options.waitCapacity(), tolerance))
            .orElseGet(
                () ->
                    new BorrowingRateLimiter(
                        options.self(), options.incarnation(), quorum, options.waitCapacity()));
    this.claims =
        new ClaimHolder(
            options.self(), options.incarnation(), quorum, MAX_CLAIMS, MAX_ANSWER_BYTES);
  }

  @Override
  public void onMessage(AdmissionMessage message, Now now) {
    missed.take().ifPresent(next -> configure(next, now));
    switch (message) {
      case AdmissionMessage.RequestReceived arrival -> check(arrival.request(), now);
      case AdmissionMessage.CallerDisconnected gone ->
          pending.find(gone.handle()).ifPresent(this::abandon);
      case AdmissionMessage.ClaimEnded ended ->
          claimEnded(ended.request(), ended.outcome(), ended.answer(), now);
      case AdmissionMessage.Internal internal -> {
        if (internal instanceof AdmissionEvent event) {
          onEvent(event, now);
        }
      }
    }
    step(now);
  }

  @Override
  public Duration onTick(Now now) {
    missed.take().ifPresent(next -> configure(next, now));
    claims.tick(now).forEach(message -> send(message, now));
    pending
        .matching(request -> request.claim().isPresent())
        .forEach(request -> claim(request, request.claim().orElseThrow(), now));
    sent.values().removeIf(claim -> !now.isBefore(claim.deadline().plus(CLAIM_REPORT_LIMIT)));
    if (stopLimit.filter(limit -> !now.isBefore(limit)).isPresent()) {
      pending
          .matching(request -> true)
          .forEach(request -> refuse(request, new Refusal.Stopping(), now));
    }
    step(now);
    return pending.isEmpty() && rates.isIdle() ? IDLE_TICK : BorrowingRateLimiter.TICK_INTERVAL;
  }

  private void onEvent(AdmissionEvent event, Now now) {
    switch (event) {
      case AdmissionEvent.Configured configured -> configure(configured.configuration(), now);
      case AdmissionEvent.Confirmed confirmed -> confirm(confirmed.freshness());
      case AdmissionEvent.PeerHeard heard -> {
        HeartbeatEcho echo = heard.echo();
        quorum.recordOffset(echo.peer().id(), echo.offset());
        ifDelegated(
            r -> r.onDelegation(echo.peer(), echo.delegation(), echo.heartbeatSentAt(), now));
      }
      case AdmissionEvent.PeerStarted started ->
          ifDelegated(r -> r.onPeerRestart(started.peer(), now));
      case AdmissionEvent.PeersChanged changed -> ifDelegated(r -> r.setPeerView(changed.view()));
      case AdmissionEvent.FleetChanged changed ->
          ifDelegated(r -> r.setOwnDelegation(changed.view().delegation(), now));
      case AdmissionEvent.FromPeer peer -> onPeer(peer.from(), peer.message(), now);
      case AdmissionEvent.Stop stop -> {
        stopLimit = Optional.of(stop.limit());
        rates.release(now).forEach(message -> send(message, now));
      }
    }
  }

  private void ifDelegated(Consumer<DelegatingRateLimiter> change) {
    switch (rates) {
      case DelegatingRateLimiter delegated -> change.accept(delegated);
      // Its holders are the members of the log's epoch, heard or not.
      case BorrowingRateLimiter ignored -> {}
    }
  }

  private void configure(Configuration next, Now now) {
    if (next.offset() < configuration.offset()) {
      return;
    }
    configuration = next;
    quorum.configure(next);
    rates.configure(next, now);
    claims.configure(next, now);
    pending.matching(request -> request.request().key().flatMap(next::key).isEmpty()).stream()
        .filter(request -> request.request().key().isPresent())
        .forEach(request -> refuse(request, new Refusal.WithdrawnKey(), now));
  }

  private void confirm(Freshness freshness) {
    if (freshness.source() != Freshness.Source.NONE) {
      freshUntil = Optional.of(freshness.validUntil());
      rates.setFreshUntil(freshness.validUntil());
      claims.setFreshUntil(freshness.validUntil());
    }
  }

  private boolean isFresh(Now now) {
    return freshUntil.map(now::isBefore).orElse(false);
  }

  private void onPeer(InstanceId from, Record message, Now now) {
    switch (message) {
      case ClaimRequest ask -> send(new OutboundMessage(from, claims.onRequest(ask, now)), now);
      case ClaimResponse answer -> onClaimAnswer(from, answer, now);
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

  private void send(OutboundMessage message, Now now) {
    if (message.to().equals(options.self())) {
      onPeer(options.self(), message.message(), now);
    } else {
      network.accept(message.to(), message.message());
    }
  }

  private void check(CallerRequest request, Now now) {
    RequestCheck.Request facts =
        new RequestCheck.Request(
            request.method(),
            request.host(),
            request.path(),
            request.keys(),
            request.timeout(),
            request.receivedAt());
    switch (new RequestCheck(configuration, freshUntil, options.maxTimeout()).check(facts, now)) {
      case RequestCheck.Result.Passed passed -> passed(request, passed, now);
      case RequestCheck.Result.Refused refused -> {
        reports.refused(request.id(), Optional.empty(), refused.refusal());
        request.handle().refuse(refused.refusal());
      }
    }
  }

  private void passed(CallerRequest request, RequestCheck.Result.Passed passed, Now now) {
    Optional<OrganisationId> caller = passed.key().map(Key::organisation);
    Optional<Organisation> organisation = caller.flatMap(configuration::organisation);
    boolean claimed =
        caller.isPresent() && !passed.idempotent() && request.idempotencyKey().isPresent();
    PendingRequest waiting =
        new PendingRequest(
            options.incarnation() + "-" + arrived++,
            new AdmittedRequest(
                request,
                caller,
                passed.key().map(Key::hash),
                passed.route().pool(random.nextDouble()),
                organisation
                    .flatMap(Organisation::priority)
                    .orElse(passed.route().limits().priority()),
                passed.route(),
                passed.idempotent(),
                claimed,
                passed.deadline()),
            now);
    if (caller.isPresent() && organisation.isEmpty()) {
      refuse(waiting, new Refusal.UnknownKey(), now);
      return;
    }
    pending.add(waiting);
    if (organisation.isEmpty()) {
      forward(waiting, now);
      return;
    }
    RateDecision decision =
        rates.tryAdmit(waiting.uniqueId(), organisation.get(), passed.deadline(), now);
    if (decision instanceof RateDecision.Queued) {
      reports.waiting(waiting);
    } else {
      onRate(waiting, decision, now);
    }
  }

  private void onRate(PendingRequest request, RateDecision decision, Now now) {
    switch (decision) {
      case RateDecision.Admitted admitted -> {
        request.admitBy(admitted.origin());
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

  private void startClaim(PendingRequest request, Now now) {
    AdmittedRequest admitted = request.request();
    ClaimCoordinator coordinator =
        new ClaimCoordinator(
            attempt(request),
            admitted.organisation().orElseThrow(),
            claimKey(admitted.request()),
            admitted.deadline(),
            now);
    request.claimBy(coordinator);
    claim(request, coordinator, now);
  }

  // The method and the path belong to the key: a caller that uses one key for two different
  // requests
  // must not get the answer of the other one.
  private static String claimKey(CallerRequest request) {
    return String.join(
        "\n", request.method(), request.path(), request.idempotencyKey().orElseThrow());
  }

  private String attempt(PendingRequest request) {
    return options.self() + "-" + request.uniqueId();
  }

  private void claim(PendingRequest request, ClaimCoordinator coordinator, Now now) {
    coordinator.dueRequests(configuration.members(), now).forEach(message -> send(message, now));
    decide(request, coordinator, now);
  }

  private void onClaimAnswer(InstanceId from, ClaimResponse answer, Now now) {
    String prefix = options.self() + "-";
    if (!answer.attempt().startsWith(prefix)) {
      return;
    }
    pending
        .find(answer.attempt().substring(prefix.length()))
        .ifPresent(
            request ->
                request
                    .claim()
                    .ifPresent(
                        coordinator -> {
                          coordinator.onResponse(from, answer);
                          decide(request, coordinator, now);
                        }));
  }

  private void decide(PendingRequest request, ClaimCoordinator coordinator, Now now) {
    Optional<ClaimDecision> decision = coordinator.decide(isFresh(now), now);
    if (decision.isEmpty()) {
      return;
    }
    switch (decision.get()) {
      case ClaimDecision.Send ignored -> {
        reports.claimGranted(request, attempt(request));
        forward(request, now);
      }
      case ClaimDecision.ReplayStored stored -> {
        reports.claimAnswered(request);
        release(request, now);
        request.request().request().handle().replay(stored.answer());
      }
      case ClaimDecision.Refuse refused -> refuse(request, refused.refusal(), now);
    }
  }

  private void forward(PendingRequest request, Now now) {
    RoutingMessage.RequestAdmitted message = new RoutingMessage.RequestAdmitted(request.request());
    if (routing.offer(message) instanceof OfferResult.Full full) {
      refuse(request, new Refusal.Overloaded(full.ring()), now);
      return;
    }
    reports.admitted(request, now);
    pending.remove(request);
    request.claim().ifPresent(claim -> sent.put(request.request().request().handle(), claim));
  }

  private void refuse(PendingRequest request, Refusal refusal, Now now) {
    AdmittedRequest admitted = request.request();
    reports.refused(admitted.request().id(), admitted.organisation(), refusal);
    release(request, now);
    admitted.request().handle().refuse(refusal);
  }

  private void abandon(PendingRequest request) {
    reports.abandoned(request);
    release(request, request.since());
  }

  /** Ends a request that was not sent, wherever it waits. */
  private void release(PendingRequest request, Now now) {
    pending.remove(request);
    rates.cancel(request.uniqueId());
    request
        .claim()
        .ifPresent(
            claim ->
                claim
                    .outcomeMessages(ExecutionOutcome.NOT_RUN, Optional.empty())
                    .forEach(message -> send(message, now)));
  }

  private void claimEnded(
      AdmittedRequest request, ExecutionOutcome outcome, Optional<StoredResponse> answer, Now now) {
    Optional.ofNullable(sent.remove(request.request().handle()))
        .ifPresent(
            claim -> {
              reports.claimEnded(request, outcome, answer.isPresent());
              claim.outcomeMessages(outcome, answer).forEach(message -> send(message, now));
            });
  }

  private void step(Now now) {
    RateLimiterOutput step = rates.step(now);
    step.events().forEach(reports::rates);
    step.messages().forEach(message -> send(message, now));
    for (RateLimiterOutput.CompletedWait ended : List.copyOf(step.completedWaits())) {
      pending.find(ended.requestId()).ifPresent(request -> onRate(request, ended.decision(), now));
    }
  }
}
