package org.bergamotcross.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import org.bergamotcross.core.admission.BorrowingRateLimiter;
import org.bergamotcross.core.admission.ClaimHolder;
import org.bergamotcross.core.admission.ClaimOutcome;
import org.bergamotcross.core.admission.ClaimRequest;
import org.bergamotcross.core.admission.ClaimState;
import org.bergamotcross.core.admission.OffsetQuorum;
import org.bergamotcross.core.admission.StoredResponse;
import org.bergamotcross.core.admission.TokenWaitQueue;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.kernel.Now;

/**
 * Measures the memory of rates and claims and the time of their decisions at growing sizes.
 *
 * <p>Prints bytes per organisation (held and borrowed from), claim, and waiting request, and
 * microseconds per decision. Memory is without the configuration, which {@link ConfigurationSlopes}
 * measures.
 */
public final class AdmissionSlopes {
  private static final InstanceId SELF = new InstanceId("entry-0");
  private static final int DECISIONS = 200_000;

  // Keeps results reachable, so that neither the collector nor the compiler removes the work.
  @SuppressWarnings("UnusedVariable")
  private static volatile Object kept;

  private AdmissionSlopes() {}

  /**
   * Runs the measurement; takes no arguments.
   *
   * @param args ignored
   */
  public static void main(String[] args) {
    System.out.println("| what | size | per item |");
    System.out.println("| --- | --- | --- |");
    for (int size : new int[] {1_000, 5_000, 20_000}) {
      Configuration configuration = configuration(size);
      memory("memory per organisation, bytes", size, n -> rates(configuration));
      memory("memory per claim, bytes", size, n -> claims(n, false));
      memory("memory per claim with an answer of 200 bytes", size, n -> claims(n, true));
      memory("memory per waiting request, bytes", size, AdmissionSlopes::waiting);
      rateDecision(size, configuration);
      claimDecision(size);
    }
  }

  private static void report(String what, int size, double value) {
    System.out.printf(Locale.ROOT, "| %s | %d | %.2f |%n", what, size, value);
  }

  private static void memory(String what, int size, IntFunction<?> build) {
    report(what, size, MemoryProbe.bytes(() -> build.apply(size)) / size);
  }

  private static Configuration configuration(int organisations) {
    List<Organisation> list = new ArrayList<>();
    for (int i = 0; i < organisations; i++) {
      list.add(new Organisation(new OrganisationId("team/o" + i), 1e9, 1e9));
    }
    TeamSettings team = new TeamSettings("team", list, List.of(), List.of(), List.of());
    Member member = new Member(SELF, 1, new FailureDomain("d"), "");
    return Configuration.of(0, Map.of("team", team), Set.of(), new Members(0, List.of(member)));
  }

  // Fresh before the first record, so that the buckets serve at once.
  private static BorrowingRateLimiter rates(Configuration configuration) {
    OffsetQuorum quorum = new OffsetQuorum(SELF);
    BorrowingRateLimiter rates = new BorrowingRateLimiter(SELF, 1, quorum, 1_000);
    rates.setFreshUntil(Now.ofMillis(1L << 40));
    quorum.configure(configuration);
    rates.configure(configuration, Now.ofMillis(0));
    int i = 0;
    for (Organisation organisation : configuration.organisations()) {
      kept = rates.tryAdmit("r" + i++, organisation, Now.ofMillis(9_000), Now.ofMillis(1_000));
      kept = rates.step(Now.ofMillis(1_000));
    }
    return rates;
  }

  private static ClaimHolder claims(int size, boolean answered) {
    OffsetQuorum quorum = new OffsetQuorum(SELF);
    ClaimHolder holder = new ClaimHolder(SELF, 1, quorum, size + DECISIONS, 1L << 30);
    holder.setFreshUntil(Now.ofMillis(1L << 40));
    Configuration configuration = configuration(1);
    quorum.configure(configuration);
    holder.configure(configuration, Now.ofMillis(0));
    for (int i = 0; i < size; i++) {
      claim(holder, "key-" + i, answered ? answer() : Optional.empty());
    }
    return holder;
  }

  private static void claim(
      ClaimHolder holder, String idempotencyKey, Optional<StoredResponse> answer) {
    OrganisationId id = new OrganisationId("team/o0");
    String key = ClaimRequest.key(id, idempotencyKey);
    String attempt = "entry-1-" + idempotencyKey;
    kept = holder.onRequest(new ClaimRequest(id.value(), key, 0, attempt), Now.ofMillis(1));
    holder.onOutcome(
        new ClaimOutcome(id.value(), key, attempt, ClaimState.RUN.wireName(), answer),
        Now.ofMillis(2));
  }

  private static Optional<StoredResponse> answer() {
    return Optional.of(new StoredResponse(200, "application/json", new byte[200]));
  }

  private static TokenWaitQueue waiting(int size) {
    TokenWaitQueue list = new TokenWaitQueue(4 * size + 4);
    OrganisationId id = new OrganisationId("team/o0");
    for (int i = 0; i < size; i++) {
      Now now = Now.ofMillis(i);
      kept = list.offer("request-" + i, id, now.plus(Duration.ofSeconds(9)), 1, s -> 1e9, now);
    }
    return list;
  }

  private static void rateDecision(int size, Configuration configuration) {
    BorrowingRateLimiter rates = rates(configuration);
    List<Organisation> all = List.copyOf(configuration.organisations());
    long start = System.nanoTime();
    for (int i = 0; i < DECISIONS; i++) {
      Now now = new Now(1_000_000_000L + i * 10_000L, 1_000);
      kept = rates.tryAdmit("r" + i, all.get(i % size), Now.ofMillis(60_000), now);
      kept = rates.step(now);
    }
    report("rate decision, microseconds", size, (System.nanoTime() - start) / 1e3 / DECISIONS);
  }

  private static void claimDecision(int size) {
    ClaimHolder holder = claims(size, false);
    long start = System.nanoTime();
    for (int i = 0; i < DECISIONS; i++) {
      claim(holder, "new-" + i, Optional.empty());
    }
    report(
        "claim and outcome at a holder, microseconds",
        size,
        (System.nanoTime() - start) / 1e3 / DECISIONS);
  }
}
