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
import org.bergamotcross.kernel.Now;

/** The tokens of one organisation that this instance has borrowed, and its asks for more. */
final class BorrowedTokens {
  /** Tokens end this long after the ask was sent; a holder counts them for 250 ms more. */
  static final Duration LIFE = Duration.ofSeconds(1);

  /** A holder that has not answered by then is passed over; it may keep an ask for 100 ms. */
  static final Duration ANSWER_LIMIT = Duration.ofMillis(150);

  /** How long a holder that did not answer is passed over. */
  static final Duration PASS_OVER = Duration.ofSeconds(1);

  /** Unused tokens go back after this time, well within the 4 s that a request may wait. */
  static final Duration IDLE = Duration.ofMillis(250);

  // Paces prefetching, and asks to a holder that does not serve yet.
  private static final Duration RETRY = Duration.ofMillis(100);
  // Reached about 5 s after a single request.
  private static final double NO_DEMAND = 0.01;
  // Hides rounding of sums of fractions; far below one token.
  private static final double EPSILON = 1e-6;

  /** Builds the message of an ask. */
  @FunctionalInterface
  interface AskFactory {
    TokenAsk create(
        OrganisationId id,
        double needed,
        double wanted,
        boolean exact,
        long patienceMillis,
        List<TokenAsk.Settlement> settlements);
  }

  private static final class Lot {
    final InstanceId holder;
    final Now sentAt;
    final double amount;
    final Now receivedAt;
    double used;
    double returned;
    Optional<Now> unreportedSince = Optional.empty();

    Lot(Ask ask, double amount, Now receivedAt) {
      this.holder = ask.holder;
      this.sentAt = ask.sentAt;
      this.amount = amount;
      this.receivedAt = receivedAt;
    }

    double left() {
      return Math.max(0, amount - used - returned);
    }
  }

  private static final class Ask {
    final InstanceId holder;
    final Now sentAt;
    final double needed;
    boolean silent;

    Ask(InstanceId holder, Now sentAt, double needed) {
      this.holder = holder;
      this.sentAt = sentAt;
      this.needed = needed;
    }
  }

  private static final class HolderView {
    Optional<TokenGrant> last = Optional.empty();
    Optional<Now> answeredAt = Optional.empty();
    Optional<Now> passedOverUntil = Optional.empty();
  }

  private final OrganisationId id;
  private final Map<Long, Lot> lots = new LinkedHashMap<>();
  private final Map<Long, Ask> pending = new HashMap<>();
  private final Map<InstanceId, HolderView> views = new HashMap<>();
  private final DemandEstimate demand = new DemandEstimate();
  private List<InstanceId> order = List.of();
  private double partRate;
  private double partBurst;
  private Duration reportDelay = Duration.ZERO;

  BorrowedTokens(Organisation organisation, List<InstanceId> order) {
    this.id = organisation.id();
    configure(organisation, order);
  }

  void configure(Organisation organisation, List<InstanceId> newOrder) {
    order = newOrder;
    int parts = Math.max(1, order.size());
    partRate = organisation.rate() / parts;
    partBurst = organisation.burst() / parts;
    // Used tokens keep a bucket from filling until they are reported. A bucket that holds less than
    // 200 ms of the rate gets each report at once, because it would lose a large part of its rate.
    double fillMillis = 1000 * organisation.burst() / organisation.rate();
    reportDelay = Duration.ofMillis(fillMillis < 200 ? 0 : (long) Math.min(250, fillMillis / 4));
    views.keySet().retainAll(order);
  }

  void noteDemand(Now now) {
    demand.add(now);
  }

  boolean take(Now now) {
    if (inHand(now) < 1 - EPSILON) {
      return false;
    }
    double missing = 1;
    for (Lot lot : lots.values()) {
      if (isUsable(lot, now)) {
        double part = Math.min(missing, lot.left());
        lot.used += part;
        missing -= part;
        markUnreported(lot, now);
      }
      if (missing <= 0) {
        break;
      }
    }
    return true;
  }

  private static void markUnreported(Lot lot, Now now) {
    if (lot.unreportedSince.isEmpty()) {
      lot.unreportedSince = Optional.of(now);
    }
  }

  private static boolean isUsable(Lot lot, Now now) {
    return lot.left() > 0 && now.isBefore(lot.sentAt.plus(LIFE));
  }

  private double inHand(Now now) {
    return lots.values().stream().filter(lot -> isUsable(lot, now)).mapToDouble(Lot::left).sum();
  }

  List<PeerMessage> asks(int waiting, Duration patience, Now now, AskFactory factory) {
    passOverSilent(now);
    double asked =
        pending.values().stream().filter(ask -> !ask.silent).mapToDouble(ask -> ask.needed).sum();
    double inHand = inHand(now);
    double missing = waiting - inHand - asked;
    List<PeerMessage> asks = new ArrayList<>();
    if (missing > EPSILON) {
      if (asked == 0) {
        askForFractions(missing, now, factory, asks);
      }
      if (asks.isEmpty()) {
        askForWhole(Math.ceil(missing - EPSILON), patience, now, factory, asks);
      }
    } else if (waiting == 0 && asked == 0 && inHand < prefetch(now) / 2) {
      usable(now).stream()
          .filter(holder -> isPrefetchDue(holder, now))
          .findFirst()
          .ifPresent(holder -> asks.add(ask(holder, 0, prefetch(now), 0, now, factory)));
    }
    return asks;
  }

  private double prefetch(Now now) {
    return Math.floor(demand.perSecond(now) * IDLE.toMillis() / 1000.0);
  }

  // A holder that should have tokens answers at once; one that should not keeps the ask until it
  // has one. The fullest one is asked first when none should have a whole token.
  private void askForWhole(
      double missing, Duration patience, Now now, AskFactory factory, List<PeerMessage> asks) {
    double left = missing;
    List<InstanceId> holders = new ArrayList<>(usable(now));
    if (holders.stream().noneMatch(holder -> likelyWhole(holder, now) >= 1)) {
      holders.sort(Comparator.comparingDouble(holder -> -likely(holder, now)));
    }
    for (InstanceId holder : holders) {
      double likely = likelyWhole(holder, now);
      if (left > 0 && isDue(holder, now)) {
        double needed = Math.min(left, Math.max(1, likely));
        double wanted = left <= needed ? needed + prefetch(now) : needed;
        long millis = likely >= 1 ? 0 : Math.max(1, patience.toMillis());
        asks.add(ask(holder, needed, wanted, millis, now, factory));
        left -= needed;
      }
    }
  }

  private double likelyWhole(InstanceId holder, Now now) {
    return Math.floor(likely(holder, now) + EPSILON);
  }

  private boolean isBusy(InstanceId holder) {
    return pending.values().stream().anyMatch(ask -> !ask.silent && ask.holder.equals(holder));
  }

  private boolean isDue(InstanceId holder, Now now) {
    HolderView view = view(holder);
    boolean serving = view.last.map(TokenGrant::serving).orElse(true);
    return !isBusy(holder) && (serving || isPaced(view, now));
  }

  private boolean isPrefetchDue(InstanceId holder, Now now) {
    HolderView view = view(holder);
    boolean plenty = view.last.map(grant -> grant.amount() > 0).orElse(true);
    return !isBusy(holder) && (plenty || isPaced(view, now));
  }

  private static boolean isPaced(HolderView view, Now now) {
    return view.answeredAt.map(at -> !now.isBefore(at.plus(RETRY))).orElse(true);
  }

  // Whole tokens only would leave up to one token for each holder unused.
  private void askForFractions(
      double missing, Now now, AskFactory factory, List<PeerMessage> asks) {
    List<InstanceId> holders = usable(now);
    double left = Math.min(1, missing);
    double sum = holders.stream().mapToDouble(holder -> likely(holder, now)).sum();
    if (sum < left
        || holders.stream().anyMatch(h -> likelyWhole(h, now) >= 1 || view(h).last.isEmpty())) {
      return;
    }
    for (InstanceId holder : holders) {
      double part = Math.min(left, likely(holder, now));
      if (part > EPSILON) {
        List<TokenAsk.Settlement> done = settlements(holder);
        asks.add(send(holder, factory.create(id, part, part, true, 0, done), now));
        left -= part;
      }
    }
  }

  private PeerMessage ask(
      InstanceId holder,
      double needed,
      double wanted,
      long patienceMillis,
      Now now,
      AskFactory factory) {
    List<TokenAsk.Settlement> done = settlements(holder);
    return send(holder, factory.create(id, needed, wanted, false, patienceMillis, done), now);
  }

  private PeerMessage send(InstanceId holder, TokenAsk ask, Now now) {
    pending.put(ask.ask(), new Ask(holder, now, ask.needed()));
    return new PeerMessage(holder, ask);
  }

  private List<InstanceId> usable(Now now) {
    List<InstanceId> usable =
        order.stream()
            .filter(h -> view(h).passedOverUntil.map(until -> !now.isBefore(until)).orElse(true))
            .toList();
    return usable.isEmpty() ? order : usable;
  }

  private HolderView view(InstanceId holder) {
    return views.computeIfAbsent(holder, key -> new HolderView());
  }

  private double likely(InstanceId holder, Now now) {
    return estimate(holder, now, TokenGrant::available);
  }

  private double estimate(InstanceId holder, Now now, ToDoubleFunction<TokenGrant> amount) {
    HolderView view = view(holder);
    if (view.last.isEmpty() || view.answeredAt.isEmpty()) {
      return partBurst;
    }
    TokenGrant last = view.last.get();
    if (!last.serving()) {
      return 0;
    }
    double gained = now.since(view.answeredAt.get()).toNanos() / 1e9 * partRate;
    return Math.min(partBurst, amount.applyAsDouble(last) + gained);
  }

  // A late answer is still taken while its tokens can be used.
  private void passOverSilent(Now now) {
    pending.values().removeIf(ask -> !now.isBefore(ask.sentAt.plus(LIFE)));
    for (Ask ask : pending.values()) {
      if (!ask.silent && !now.isBefore(ask.sentAt.plus(ANSWER_LIMIT))) {
        ask.silent = true;
        view(ask.holder).passedOverUntil = Optional.of(now.plus(PASS_OVER));
      }
    }
  }

  void onGrant(InstanceId from, TokenGrant grant, Now now) {
    Ask ask = pending.get(grant.ask());
    if (ask == null || !ask.holder.equals(from)) {
      return;
    }
    pending.remove(grant.ask());
    HolderView view = view(from);
    view.last = Optional.of(grant);
    view.answeredAt = Optional.of(now);
    view.passedOverUntil = Optional.empty();
    if (grant.amount() > 0 && now.isBefore(ask.sentAt.plus(LIFE))) {
      lots.put(grant.ask(), new Lot(ask, grant.amount(), now));
    }
  }

  List<PeerMessage> reports(Now now, AskFactory factory) {
    passOverSilent(now);
    lots.values().forEach(lot -> giveBackIdle(lot, now));
    lots.values().removeIf(lot -> lot.unreportedSince.isEmpty() && !isUsable(lot, now));
    boolean due =
        lots.values().stream()
            .anyMatch(
                lot ->
                    lot.unreportedSince
                        .map(since -> !now.isBefore(since.plus(reportDelay)))
                        .orElse(false));
    return due ? reportsNow(now, factory) : List.of();
  }

  List<PeerMessage> reportsNow(Now now, AskFactory factory) {
    List<PeerMessage> reports = new ArrayList<>();
    for (InstanceId holder : lots.values().stream().map(lot -> lot.holder).distinct().toList()) {
      List<TokenAsk.Settlement> done = settlements(holder);
      if (!done.isEmpty()) {
        reports.add(new PeerMessage(holder, factory.create(id, 0, 0, false, 0, done)));
      }
    }
    lots.values().removeIf(lot -> !isUsable(lot, now));
    return reports;
  }

  private void giveBackIdle(Lot lot, Now now) {
    if (isUsable(lot, now) && !now.isBefore(lot.receivedAt.plus(IDLE))) {
      giveBack(lot, now);
    }
  }

  private static void giveBack(Lot lot, Now now) {
    lot.returned += lot.left();
    markUnreported(lot, now);
  }

  void giveBackAll() {
    lots.values().forEach(lot -> giveBack(lot, lot.receivedAt));
  }

  private List<TokenAsk.Settlement> settlements(InstanceId holder) {
    List<TokenAsk.Settlement> done = new ArrayList<>();
    lots.forEach(
        (ask, lot) -> {
          if (lot.holder.equals(holder) && lot.unreportedSince.isPresent()) {
            done.add(new TokenAsk.Settlement(ask, lot.used, lot.returned));
            lot.unreportedSince = Optional.empty();
          }
        });
    lots.entrySet().removeIf(e -> e.getValue().holder.equals(holder) && e.getValue().left() <= 0);
    return done;
  }

  /** Tells whether nothing is borrowed, asked for, or expected to be needed soon. */
  boolean isIdle(Now now) {
    return lots.isEmpty() && pending.isEmpty() && demand.perSecond(now) < NO_DEMAND;
  }

  /** Tells whether a holder has said that it serves the organisation, when it answered last. */
  boolean isServed() {
    return order.stream()
        .anyMatch(holder -> view(holder).last.map(TokenGrant::serving).orElse(false));
  }

  boolean isIdle() {
    return lots.isEmpty() && pending.isEmpty();
  }

  double possible(double seconds, Now now) {
    double sum = inHand(now) + partRate * order.size() * seconds;
    for (InstanceId holder : order) {
      sum += estimate(holder, now, grant -> grant.available() + grant.outstanding());
    }
    return sum;
  }
}
