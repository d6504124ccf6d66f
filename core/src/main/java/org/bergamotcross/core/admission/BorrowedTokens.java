package org.bergamotcross.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;

/** The tokens of one organisation that this instance has borrowed, and its requests for more. */
final class BorrowedTokens {
  /**
   * How long after its request was sent a token may be used; the holder counts it for 250 ms more.
   */
  static final Duration TOKEN_VALIDITY = Duration.ofSeconds(1);

  /** A holder that has not responded by then is suspected; it may park a request for 100 ms. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(150);

  /** How long an unresponsive holder is skipped. */
  static final Duration SUSPECT_DURATION = Duration.ofSeconds(1);

  /** Unused tokens are returned after this time, well within the 4 s that a request may wait. */
  static final Duration IDLE_RETURN_DELAY = Duration.ofMillis(250);

  // Minimum interval of prefetches from a holder without spare tokens, and of requests to a holder
  // that does not serve yet.
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
  // The estimate falls below this about 5 s after a single request.
  private static final double NEGLIGIBLE_DEMAND_PER_SECOND = 0.01;
  // Absorbs rounding in sums of fractions; far below one token.
  private static final double ROUNDING_TOLERANCE_TOKENS = 1e-6;

  /** Creates token requests with a fresh request number. */
  @FunctionalInterface
  interface RequestFactory {
    TokenRequest create(
        OrganisationId id,
        double needed,
        double wanted,
        boolean exact,
        long patienceMillis,
        List<TokenRequest.Settlement> settlements);
  }

  private static final class Loan {
    final InstanceId holder;
    final ClockReading sentAt;
    final double amount;
    final ClockReading receivedAt;
    double used;
    double returned;
    Optional<ClockReading> unreportedSince = Optional.empty();

    Loan(OutstandingRequest request, double amount, ClockReading receivedAt) {
      this.holder = request.holder;
      this.sentAt = request.sentAt;
      this.amount = amount;
      this.receivedAt = receivedAt;
    }

    double remaining() {
      return Math.max(0, amount - used - returned);
    }
  }

  private static final class OutstandingRequest {
    final InstanceId holder;
    final ClockReading sentAt;
    final double needed;
    boolean timedOut;

    OutstandingRequest(InstanceId holder, ClockReading sentAt, double needed) {
      this.holder = holder;
      this.sentAt = sentAt;
      this.needed = needed;
    }
  }

  private static final class HolderState {
    Optional<TokenGrant> lastGrant = Optional.empty();
    Optional<ClockReading> respondedAt = Optional.empty();
    Optional<ClockReading> suspectUntil = Optional.empty();
  }

  private final OrganisationId id;
  private final Map<Long, Loan> loans = new LinkedHashMap<>();
  private final Map<Long, OutstandingRequest> outstandingRequests = new HashMap<>();
  private final Map<InstanceId, HolderState> holderStates = new HashMap<>();
  private final DemandEstimate demand = new DemandEstimate();
  private List<InstanceId> holderOrder = List.of();
  private double ratePerHolder;
  private double burstPerHolder;
  private Duration reportDelay = Duration.ZERO;

  BorrowedTokens(Organisation organisation, List<InstanceId> order) {
    this.id = organisation.id();
    configure(organisation, order);
  }

  void configure(Organisation organisation, List<InstanceId> newOrder) {
    holderOrder = newOrder;
    int parts = Math.max(1, holderOrder.size());
    ratePerHolder = organisation.rate() / parts;
    burstPerHolder = organisation.burst() / parts;
    // Used tokens keep a bucket from refilling until they are reported. A bucket with a burst below
    // 200 ms of the rate gets each report at once, because it would lose much of its rate
    // otherwise.
    double fillMillis = 1000 * organisation.burst() / organisation.rate();
    reportDelay = Duration.ofMillis(fillMillis < 200 ? 0 : (long) Math.min(250, fillMillis / 4));
    holderStates.keySet().retainAll(holderOrder);
  }

  void recordDemand(ClockReading now) {
    demand.recordRequest(now);
  }

  boolean takeToken(ClockReading now) {
    if (usableTokens(now) < 1 - ROUNDING_TOLERANCE_TOKENS) {
      return false;
    }
    double missing = 1;
    for (Loan loan : loans.values()) {
      if (isUsable(loan, now)) {
        double part = Math.min(missing, loan.remaining());
        loan.used += part;
        missing -= part;
        markUnreported(loan, now);
      }
      if (missing <= 0) {
        break;
      }
    }
    return true;
  }

  private static void markUnreported(Loan loan, ClockReading now) {
    if (loan.unreportedSince.isEmpty()) {
      loan.unreportedSince = Optional.of(now);
    }
  }

  private static boolean isUsable(Loan loan, ClockReading now) {
    return loan.remaining() > 0 && now.isBefore(loan.sentAt.plus(TOKEN_VALIDITY));
  }

  private double usableTokens(ClockReading now) {
    return loans.values().stream()
        .filter(loan -> isUsable(loan, now))
        .mapToDouble(Loan::remaining)
        .sum();
  }

  List<OutboundMessage> dueRequests(
      int waiting, Duration patience, ClockReading now, RequestFactory factory) {
    suspectUnresponsive(now);
    double requested =
        outstandingRequests.values().stream()
            .filter(request -> !request.timedOut)
            .mapToDouble(request -> request.needed)
            .sum();
    double usable = usableTokens(now);
    double missing = waiting - usable - requested;
    List<OutboundMessage> requests = new ArrayList<>();
    if (missing > ROUNDING_TOLERANCE_TOKENS) {
      if (requested == 0) {
        requestFractions(missing, now, factory, requests);
      }
      if (requests.isEmpty()) {
        requestWholeTokens(
            Math.ceil(missing - ROUNDING_TOLERANCE_TOKENS), patience, now, factory, requests);
      }
    } else if (waiting == 0 && requested == 0 && usable < prefetchTokens(now) / 2) {
      responsiveHolders(now).stream()
          .filter(holder -> isPrefetchDue(holder, now))
          .findFirst()
          .ifPresent(
              holder ->
                  requests.add(sendLoanRequest(holder, 0, prefetchTokens(now), 0, now, factory)));
    }
    return requests;
  }

  private double prefetchTokens(ClockReading now) {
    return Math.floor(demand.requestsPerSecond(now) * IDLE_RETURN_DELAY.toMillis() / 1000.0);
  }

  // A holder that is expected to have tokens replies at once; any other parks the request until it
  // has one. If none is expected to have a whole token, the fullest one is asked first.
  private void requestWholeTokens(
      double missing,
      Duration patience,
      ClockReading now,
      RequestFactory factory,
      List<OutboundMessage> requests) {
    double left = missing;
    List<InstanceId> holders = new ArrayList<>(responsiveHolders(now));
    if (holders.stream().noneMatch(holder -> estimatedWholeTokens(holder, now) >= 1)) {
      holders.sort(Comparator.comparingDouble(holder -> -estimatedTokens(holder, now)));
    }
    for (InstanceId holder : holders) {
      double estimated = estimatedWholeTokens(holder, now);
      if (left > 0 && isRequestDue(holder, now)) {
        double needed = Math.min(left, Math.max(1, estimated));
        double wanted = left <= needed ? needed + prefetchTokens(now) : needed;
        long millis = estimated >= 1 ? 0 : Math.max(1, patience.toMillis());
        requests.add(sendLoanRequest(holder, needed, wanted, millis, now, factory));
        left -= needed;
      }
    }
  }

  private double estimatedWholeTokens(InstanceId holder, ClockReading now) {
    return Math.floor(estimatedTokens(holder, now) + ROUNDING_TOLERANCE_TOKENS);
  }

  private boolean hasOutstandingRequest(InstanceId holder) {
    return outstandingRequests.values().stream()
        .anyMatch(request -> !request.timedOut && request.holder.equals(holder));
  }

  private boolean isRequestDue(InstanceId holder, ClockReading now) {
    HolderState view = holderState(holder);
    boolean serving = view.lastGrant.map(TokenGrant::serving).orElse(true);
    return !hasOutstandingRequest(holder) && (serving || isRetryDue(view, now));
  }

  private boolean isPrefetchDue(InstanceId holder, ClockReading now) {
    HolderState view = holderState(holder);
    boolean hadTokens = view.lastGrant.map(grant -> grant.amount() > 0).orElse(true);
    return !hasOutstandingRequest(holder) && (hadTokens || isRetryDue(view, now));
  }

  private static boolean isRetryDue(HolderState view, ClockReading now) {
    return view.respondedAt.map(at -> !now.isBefore(at.plus(RETRY_INTERVAL))).orElse(true);
  }

  // Requesting only whole tokens would leave up to one token per holder unused.
  private void requestFractions(
      double missing, ClockReading now, RequestFactory factory, List<OutboundMessage> requests) {
    List<InstanceId> holders = responsiveHolders(now);
    double left = Math.min(1, missing);
    double sum = holders.stream().mapToDouble(holder -> estimatedTokens(holder, now)).sum();
    if (sum < left
        || holders.stream()
            .anyMatch(
                h -> estimatedWholeTokens(h, now) >= 1 || holderState(h).lastGrant.isEmpty())) {
      return;
    }
    for (InstanceId holder : holders) {
      double part = Math.min(left, estimatedTokens(holder, now));
      if (part > ROUNDING_TOLERANCE_TOKENS) {
        List<TokenRequest.Settlement> settlements = takeSettlements(holder);
        requests.add(track(holder, factory.create(id, part, part, true, 0, settlements), now));
        left -= part;
      }
    }
  }

  private OutboundMessage sendLoanRequest(
      InstanceId holder,
      double needed,
      double wanted,
      long patienceMillis,
      ClockReading now,
      RequestFactory factory) {
    List<TokenRequest.Settlement> settlements = takeSettlements(holder);
    return track(
        holder, factory.create(id, needed, wanted, false, patienceMillis, settlements), now);
  }

  private OutboundMessage track(InstanceId holder, TokenRequest request, ClockReading now) {
    outstandingRequests.put(request.ask(), new OutstandingRequest(holder, now, request.needed()));
    return new OutboundMessage(holder, request);
  }

  private List<InstanceId> responsiveHolders(ClockReading now) {
    List<InstanceId> usable =
        holderOrder.stream()
            .filter(
                h -> holderState(h).suspectUntil.map(until -> !now.isBefore(until)).orElse(true))
            .toList();
    return usable.isEmpty() ? holderOrder : usable;
  }

  private HolderState holderState(InstanceId holder) {
    return holderStates.computeIfAbsent(holder, key -> new HolderState());
  }

  private double estimatedTokens(InstanceId holder, ClockReading now) {
    return estimate(holder, now, TokenGrant::available);
  }

  private double estimate(
      InstanceId holder, ClockReading now, ToDoubleFunction<TokenGrant> amount) {
    HolderState view = holderState(holder);
    if (view.lastGrant.isEmpty() || view.respondedAt.isEmpty()) {
      return burstPerHolder;
    }
    TokenGrant last = view.lastGrant.get();
    if (!last.serving()) {
      return 0;
    }
    double gained = now.since(view.respondedAt.get()).toNanos() / 1e9 * ratePerHolder;
    return Math.min(burstPerHolder, amount.applyAsDouble(last) + gained);
  }

  // A late grant is still accepted while its tokens are valid.
  private void suspectUnresponsive(ClockReading now) {
    outstandingRequests
        .values()
        .removeIf(request -> !now.isBefore(request.sentAt.plus(TOKEN_VALIDITY)));
    for (OutstandingRequest request : outstandingRequests.values()) {
      if (!request.timedOut && !now.isBefore(request.sentAt.plus(RESPONSE_TIMEOUT))) {
        request.timedOut = true;
        holderState(request.holder).suspectUntil = Optional.of(now.plus(SUSPECT_DURATION));
      }
    }
  }

  void onGrant(InstanceId from, TokenGrant grant, ClockReading now) {
    OutstandingRequest request = outstandingRequests.get(grant.ask());
    if (request == null || !request.holder.equals(from)) {
      return;
    }
    outstandingRequests.remove(grant.ask());
    HolderState view = holderState(from);
    view.lastGrant = Optional.of(grant);
    view.respondedAt = Optional.of(now);
    view.suspectUntil = Optional.empty();
    if (grant.amount() > 0 && now.isBefore(request.sentAt.plus(TOKEN_VALIDITY))) {
      loans.put(grant.ask(), new Loan(request, grant.amount(), now));
    }
  }

  List<OutboundMessage> dueReports(ClockReading now, RequestFactory factory) {
    suspectUnresponsive(now);
    loans.values().forEach(loan -> returnIfIdle(loan, now));
    loans.values().removeIf(loan -> loan.unreportedSince.isEmpty() && !isUsable(loan, now));
    boolean due =
        loans.values().stream()
            .anyMatch(
                loan ->
                    loan.unreportedSince
                        .map(since -> !now.isBefore(since.plus(reportDelay)))
                        .orElse(false));
    return due ? pendingReports(now, factory) : List.of();
  }

  List<OutboundMessage> pendingReports(ClockReading now, RequestFactory factory) {
    List<OutboundMessage> reports = new ArrayList<>();
    for (InstanceId holder : loans.values().stream().map(loan -> loan.holder).distinct().toList()) {
      List<TokenRequest.Settlement> settlements = takeSettlements(holder);
      if (!settlements.isEmpty()) {
        reports.add(new OutboundMessage(holder, factory.create(id, 0, 0, false, 0, settlements)));
      }
    }
    loans.values().removeIf(loan -> !isUsable(loan, now));
    return reports;
  }

  private void returnIfIdle(Loan loan, ClockReading now) {
    if (isUsable(loan, now) && !now.isBefore(loan.receivedAt.plus(IDLE_RETURN_DELAY))) {
      returnRemaining(loan, now);
    }
  }

  private static void returnRemaining(Loan loan, ClockReading now) {
    loan.returned += loan.remaining();
    markUnreported(loan, now);
  }

  void returnAll() {
    loans.values().forEach(loan -> returnRemaining(loan, loan.receivedAt));
  }

  private List<TokenRequest.Settlement> takeSettlements(InstanceId holder) {
    List<TokenRequest.Settlement> settlements = new ArrayList<>();
    loans.forEach(
        (requestNumber, loan) -> {
          if (loan.holder.equals(holder) && loan.unreportedSince.isPresent()) {
            settlements.add(new TokenRequest.Settlement(requestNumber, loan.used, loan.returned));
            loan.unreportedSince = Optional.empty();
          }
        });
    loans
        .entrySet()
        .removeIf(e -> e.getValue().holder.equals(holder) && e.getValue().remaining() <= 0);
    return settlements;
  }

  /** Returns whether no token is borrowed, requested, or expected to be needed soon. */
  boolean isIdle(ClockReading now) {
    return loans.isEmpty()
        && outstandingRequests.isEmpty()
        && demand.requestsPerSecond(now) < NEGLIGIBLE_DEMAND_PER_SECOND;
  }

  /** Returns whether the latest grant of some holder says that it serves the organisation. */
  boolean isServed() {
    return holderOrder.stream()
        .anyMatch(holder -> holderState(holder).lastGrant.map(TokenGrant::serving).orElse(false));
  }

  boolean isIdle() {
    return loans.isEmpty() && outstandingRequests.isEmpty();
  }

  double maxTokensWithin(double seconds, ClockReading now) {
    double sum = usableTokens(now) + ratePerHolder * holderOrder.size() * seconds;
    for (InstanceId holder : holderOrder) {
      sum += estimate(holder, now, grant -> grant.available() + grant.outstanding());
    }
    return sum;
  }
}
