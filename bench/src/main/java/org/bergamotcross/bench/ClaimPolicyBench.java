package org.bergamotcross.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;
import org.bergamotcross.core.admission.ClaimCoordinator;
import org.bergamotcross.core.admission.ClaimDecision;
import org.bergamotcross.core.admission.ClaimHolder;
import org.bergamotcross.core.admission.ClaimOutcome;
import org.bergamotcross.core.admission.ClaimRequest;
import org.bergamotcross.core.admission.ClaimResponse;
import org.bergamotcross.core.admission.ClaimSyncRequest;
import org.bergamotcross.core.admission.ClaimSyncResponse;
import org.bergamotcross.core.admission.ExecutionOutcome;
import org.bergamotcross.core.admission.OffsetQuorum;
import org.bergamotcross.core.admission.OutboundMessage;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;

/**
 * Compares claims in the log, at one owner with a lease, and at holders in other failure domains.
 *
 * <p>Orders arrive at random at all instances. The log takes 300 appends a second and 5 ms for
 * each; it is away from second 20 to 40. A lease lasts 3 s and is renewed in the log. It writes
 * {@code claims.csv} and {@code claims.md}.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.bench.ClaimPolicyBench [SEED] [DIRECTORY]
 * }</pre>
 */
public final class ClaimPolicyBench {
  private static final List<String> COLUMNS =
      List.of(
          "one way ms",
          "orders/s",
          "policy",
          "orders",
          "refused",
          "refused in outage",
          "added p50 ms",
          "added p99 ms",
          "added p99.9 ms",
          "messages per order");
  private static final long SECOND = 1_000 * AdmissionModel.MILLI;
  private static final long START = 2 * SECOND;
  private static final long AWAY_FROM = 20 * SECOND;
  private static final long AWAY_UNTIL = 40 * SECOND;
  private static final long LENGTH = 60 * SECOND;
  private static final long LEASE = 3 * SECOND;
  private static final long MAX_WAIT = 4 * SECOND;
  private static final long APPEND = 5 * AdmissionModel.MILLI;
  private static final long APPENDS_PER_SECOND = 300;

  /** The policies. */
  private enum Policy {
    LOG,
    LEASE,
    HOLDERS
  }

  private final AdmissionModel model;
  private final Policy policy;
  private final Histogram added = new Histogram(60_000_000L, 3);
  private final List<ClaimHolder> holders = new ArrayList<>();
  private final Map<String, ClaimCoordinator> open = new HashMap<>();
  private final Map<String, Integer> coordinators = new HashMap<>();
  private final Map<String, Long> startedAt = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private long logFreeAt;
  private long orders;
  private long refused;
  private long refusedInOutage;

  private ClaimPolicyBench(AdmissionModel model, Policy policy) {
    this.model = model;
    this.policy = policy;
  }

  /**
   * Runs all policies and writes the reports.
   *
   * @param args the seed, 1 if absent, and the directory, {@code target/bench} if absent
   * @throws IOException if a report can't be written
   */
  public static void main(String[] args) throws IOException {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
    List<List<String>> rows = new ArrayList<>();
    for (long cross : new long[] {250_000, 500_000, 750_000, 1_500_000}) {
      for (int perSecond : new int[] {100, 500}) {
        for (Policy policy : Policy.values()) {
          AdmissionModel model =
              cross <= 500_000
                  ? new AdmissionModel(17, 3, cross, seed)
                  : new AdmissionModel(18, 4, cross, seed);
          rows.add(new ClaimPolicyBench(model, policy).run(cross, perSecond));
        }
      }
    }
    Path directory = Path.of(args.length > 1 ? args[1] : "target/bench");
    BenchReport.write(directory, "claims", "Seed " + seed + ".", COLUMNS, rows);
  }

  private List<String> run(long cross, int perSecond) {
    join();
    arrive(START, perSecond);
    model.runUntil(LENGTH + 5 * SECOND);
    return List.of(
        number(cross / 1e6),
        Integer.toString(perSecond),
        policy.name().toLowerCase(Locale.ROOT),
        Long.toString(orders),
        Long.toString(refused),
        Long.toString(refusedInOutage),
        number(added.getValueAtPercentile(50) / 1e3),
        number(added.getValueAtPercentile(99) / 1e3),
        number(added.getValueAtPercentile(99.9) / 1e3),
        number(model.messages / (double) Math.max(1, orders)));
  }

  // The members join an empty log one by one, so that the holders know that nothing was claimed.
  private void join() {
    List<OffsetQuorum> quorums = new ArrayList<>();
    for (int i = 0; i < model.instances; i++) {
      quorums.add(new OffsetQuorum(AdmissionModel.id(i)));
      holders.add(new ClaimHolder(AdmissionModel.id(i), 1, quorums.get(i), 100_000, 1 << 20));
      holders.get(i).setFreshUntil(new Now(Long.MAX_VALUE / 4, 0));
    }
    TreeSet<Integer> members = new TreeSet<>();
    for (int i = 0; i < model.instances; i++) {
      members.add(i);
      configuration = model.configuration(i, members);
      for (int j = 0; j < model.instances; j++) {
        quorums.get(j).configure(configuration);
        holders.get(j).configure(configuration, model.now());
      }
    }
    tick();
  }

  private void tick() {
    for (int i = 0; i < model.instances; i++) {
      int instance = i;
      holders.get(i).tick(model.now()).forEach(message -> send(instance, message));
    }
    List.copyOf(open.keySet()).forEach(this::claim);
    model.at(model.time() + 10 * AdmissionModel.MILLI, this::tick);
  }

  private void arrive(long from, int perSecond) {
    long at = from - (long) (Math.log(1 - model.arrivals.nextDouble()) / perSecond * 1e9);
    if (at < LENGTH) {
      int instance = model.arrivals.nextInt(model.instances);
      int organisation = model.arrivals.nextInt(8);
      model.at(at, () -> order(instance, organisation));
      model.at(at, () -> arrive(at, perSecond));
    }
  }

  private void order(int instance, int organisation) {
    orders++;
    OrganisationId id = new OrganisationId("team/o" + organisation);
    switch (policy) {
      case LOG -> append(model.time(), MAX_WAIT);
      case LEASE -> askOwner(instance, id);
      case HOLDERS -> {
        String attempt = "a" + orders;
        Now deadline = model.now().plus(Duration.ofSeconds(10));
        open.put(attempt, new ClaimCoordinator(attempt, id, attempt, deadline, model.now()));
        coordinators.put(attempt, instance);
        startedAt.put(attempt, model.time());
        claim(attempt);
      }
    }
  }

  private static boolean isAway(long time) {
    return time >= AWAY_FROM && time < AWAY_UNTIL;
  }

  private void append(long start, long patience) {
    long begins = Math.max(start, logFreeAt);
    if (isAway(begins)) {
      begins = AWAY_UNTIL;
    }
    if (begins - start > patience) {
      refuse(start);
    } else {
      logFreeAt = begins + SECOND / APPENDS_PER_SECOND;
      record(begins + APPEND - start);
    }
  }

  // The owner answers from memory while its lease holds; renewals stop while the log is away.
  private void askOwner(int instance, OrganisationId id) {
    InstanceId owner = configuration.members().holders(id.value()).getFirst().id();
    long start = model.time();
    if (start >= AWAY_FROM + LEASE && start < AWAY_UNTIL) {
      refuse(start);
    } else if (AdmissionModel.index(owner) == instance) {
      record(0);
    } else {
      int to = AdmissionModel.index(owner);
      model.send(instance, to, () -> model.send(to, instance, () -> record(model.time() - start)));
    }
  }

  private void record(long nanos) {
    added.recordValue(nanos / 1_000);
  }

  private void refuse(long start) {
    refused++;
    refusedInOutage += isAway(start) ? 1 : 0;
  }

  private void claim(String attempt) {
    ClaimCoordinator coordinator = open.get(attempt);
    int instance = coordinators.get(attempt);
    coordinator
        .dueRequests(configuration.members(), model.now())
        .forEach(message -> send(instance, message));
    decide(attempt, coordinator);
  }

  private void send(int from, OutboundMessage message) {
    int to = AdmissionModel.index(message.to());
    if (to == from) {
      receive(from, to, message.message());
    } else {
      model.send(from, to, () -> receive(from, to, message.message()));
    }
  }

  private void receive(int from, int to, Record message) {
    InstanceId sender = AdmissionModel.id(from);
    ClaimHolder holder = holders.get(to);
    switch (message) {
      case ClaimRequest ask ->
          send(to, new OutboundMessage(sender, holder.onRequest(ask, model.now())));
      case ClaimOutcome outcome -> holder.onOutcome(outcome, model.now());
      case ClaimSyncRequest sync ->
          holder
              .onSyncRequest(sync, model.now())
              .ifPresent(page -> send(to, new OutboundMessage(sender, page)));
      case ClaimSyncResponse page ->
          holder.onSyncResponse(sender, page, model.now()).ifPresent(next -> send(to, next));
      case ClaimResponse answer -> {
        ClaimCoordinator coordinator = open.get(answer.attempt());
        if (coordinator != null) {
          coordinator.onResponse(sender, answer);
          decide(answer.attempt(), coordinator);
        }
      }
      default -> throw new IllegalStateException(message.toString());
    }
  }

  private void decide(String attempt, ClaimCoordinator coordinator) {
    Optional<ClaimDecision> decision = coordinator.decide(true, model.now());
    if (decision.isEmpty() || open.remove(attempt) == null) {
      return;
    }
    long start = startedAt.remove(attempt);
    int instance = coordinators.remove(attempt);
    boolean sent = decision.get() instanceof ClaimDecision.Send;
    if (sent) {
      record(model.time() - start);
    } else {
      refuse(start);
    }
    coordinator
        .outcomeMessages(sent ? ExecutionOutcome.RUN : ExecutionOutcome.NOT_RUN, Optional.empty())
        .forEach(message -> send(instance, message));
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
