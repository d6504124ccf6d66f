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
import org.bergamotcross.kernel.ClockReading;

/**
 * Measures the memory and the decision time of rate limiting and claims at growing sizes.
 *
 * <p>Prints bytes per organisation (on the instance that both holds and borrows its tokens), per
 * claim and per waiting request, and microseconds per decision. The memory excludes the
 * configuration, which {@link ConfigurationSlopes} measures.
 */
public final class AdmissionSlopes {
  private static final InstanceId LOCAL_INSTANCE = new InstanceId("entry-0");
  private static final int DECISION_COUNT = 200_000;

  // Consumes results so that the measured work is neither garbage collected nor optimised away.
  @SuppressWarnings("UnusedVariable")
  private static volatile Object blackhole;

  private AdmissionSlopes() {}

  /**
   * Runs the measurement and prints a Markdown table.
   *
   * @param args ignored
   */
  public static void main(String[] args) {
    System.out.println("| what | size | per item |");
    System.out.println("| --- | --- | --- |");
    for (int size : new int[] {1_000, 5_000, 20_000}) {
      Configuration configuration = createConfiguration(size);
      measureMemory("memory per organisation, bytes", size, n -> createRateLimiter(configuration));
      measureMemory("memory per claim, bytes", size, n -> createClaimHolder(n, false));
      measureMemory(
          "memory per claim with an answer of 200 bytes", size, n -> createClaimHolder(n, true));
      measureMemory("memory per waiting request, bytes", size, AdmissionSlopes::createWaitQueue);
      measureRateDecision(size, configuration);
      measureClaimDecision(size);
    }
  }

  private static void report(String metric, int size, double value) {
    System.out.printf(Locale.ROOT, "| %s | %d | %.2f |%n", metric, size, value);
  }

  private static void measureMemory(String metric, int size, IntFunction<?> factory) {
    report(metric, size, MemoryProbe.retainedBytes(() -> factory.apply(size)) / size);
  }

  private static Configuration createConfiguration(int organisations) {
    List<Organisation> list = new ArrayList<>();
    for (int i = 0; i < organisations; i++) {
      list.add(new Organisation(new OrganisationId("team/o" + i), 1e9, 1e9));
    }
    TeamSettings team = new TeamSettings("team", list, List.of(), List.of(), List.of());
    Member member = new Member(LOCAL_INSTANCE, 1, new FailureDomain("d"), "");
    return Configuration.of(0, Map.of("team", team), Set.of(), new Members(0, List.of(member)));
  }

  // Fresh before the first configuration record, so that the buckets admit requests at once.
  private static BorrowingRateLimiter createRateLimiter(Configuration configuration) {
    OffsetQuorum quorum = new OffsetQuorum(LOCAL_INSTANCE);
    BorrowingRateLimiter rateLimiter = new BorrowingRateLimiter(LOCAL_INSTANCE, 1, quorum, 1_000);
    rateLimiter.setFreshUntil(ClockReading.ofMillis(1L << 40));
    quorum.configure(configuration);
    rateLimiter.configure(configuration, ClockReading.ofMillis(0));
    int i = 0;
    for (Organisation organisation : configuration.organisations()) {
      blackhole =
          rateLimiter.tryAdmit(
              "r" + i++, organisation, ClockReading.ofMillis(9_000), ClockReading.ofMillis(1_000));
      blackhole = rateLimiter.step(ClockReading.ofMillis(1_000));
    }
    return rateLimiter;
  }

  private static ClaimHolder createClaimHolder(int size, boolean withResponse) {
    OffsetQuorum quorum = new OffsetQuorum(LOCAL_INSTANCE);
    ClaimHolder holder =
        new ClaimHolder(LOCAL_INSTANCE, 1, quorum, size + DECISION_COUNT, 1L << 30);
    holder.setFreshUntil(ClockReading.ofMillis(1L << 40));
    Configuration configuration = createConfiguration(1);
    quorum.configure(configuration);
    holder.configure(configuration, ClockReading.ofMillis(0));
    for (int i = 0; i < size; i++) {
      claimAndComplete(
          holder, "key-" + i, withResponse ? createStoredResponse() : Optional.empty());
    }
    return holder;
  }

  private static void claimAndComplete(
      ClaimHolder holder, String idempotencyKey, Optional<StoredResponse> response) {
    OrganisationId id = new OrganisationId("team/o0");
    String key = ClaimRequest.key(id, idempotencyKey);
    String attempt = "entry-1-" + idempotencyKey;
    blackhole =
        holder.onRequest(new ClaimRequest(id.value(), key, 0, attempt), ClockReading.ofMillis(1));
    holder.onOutcome(
        new ClaimOutcome(id.value(), key, attempt, ClaimState.RUN.wireName(), response),
        ClockReading.ofMillis(2));
  }

  private static Optional<StoredResponse> createStoredResponse() {
    return Optional.of(new StoredResponse(200, "application/json", new byte[200]));
  }

  private static TokenWaitQueue createWaitQueue(int size) {
    TokenWaitQueue queue = new TokenWaitQueue(4 * size + 4);
    OrganisationId id = new OrganisationId("team/o0");
    for (int i = 0; i < size; i++) {
      ClockReading now = ClockReading.ofMillis(i);
      blackhole =
          queue.offer("request-" + i, id, now.plus(Duration.ofSeconds(9)), 1, s -> 1e9, now);
    }
    return queue;
  }

  private static void measureRateDecision(int size, Configuration configuration) {
    BorrowingRateLimiter rateLimiter = createRateLimiter(configuration);
    List<Organisation> organisations = List.copyOf(configuration.organisations());
    long start = System.nanoTime();
    for (int i = 0; i < DECISION_COUNT; i++) {
      ClockReading now = new ClockReading(1_000_000_000L + i * 10_000L, 1_000);
      blackhole =
          rateLimiter.tryAdmit(
              "r" + i, organisations.get(i % size), ClockReading.ofMillis(60_000), now);
      blackhole = rateLimiter.step(now);
    }
    report("rate decision, microseconds", size, (System.nanoTime() - start) / 1e3 / DECISION_COUNT);
  }

  private static void measureClaimDecision(int size) {
    ClaimHolder holder = createClaimHolder(size, false);
    long start = System.nanoTime();
    for (int i = 0; i < DECISION_COUNT; i++) {
      claimAndComplete(holder, "new-" + i, Optional.empty());
    }
    report(
        "claim and outcome at a holder, microseconds",
        size,
        (System.nanoTime() - start) / 1e3 / DECISION_COUNT);
  }
}
