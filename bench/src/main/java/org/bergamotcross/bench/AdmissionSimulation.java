package org.bergamotcross.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
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
 * Discrete-event simulation of the instances, organisations and messages of one deployment, for
 * comparing admission policies.
 *
 * <p>It models neither the control log nor the freshness of the configuration: a run publishes each
 * configuration to all running instances 500 ms after its cause, and instances stay fresh.
 */
final class AdmissionSimulation {
  static final long NANOS_PER_MILLI = 1_000_000;
  private static final int ORGANISATION_COUNT = 8;
  private static final double LATENCY_JITTER = 0.2;

  private record ScheduledEvent(long atNanos, long sequence, Runnable action) {}

  final int instanceCount;
  final int failureDomainCount;
  // A separate generator for arrivals gives all policies the same workload.
  final UniformRandomProvider arrivalRandom;
  private final UniformRandomProvider jitterRandom;
  private final long crossDomainNanos;
  private final PriorityQueue<ScheduledEvent> events =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledEvent::atNanos)
              .thenComparingLong(ScheduledEvent::sequence));
  private long nextSequence;
  private long timeNanos;
  long messageCount;

  AdmissionSimulation(int instanceCount, int failureDomainCount, long crossDomainNanos, long seed) {
    this.instanceCount = instanceCount;
    this.failureDomainCount = failureDomainCount;
    this.crossDomainNanos = crossDomainNanos;
    this.arrivalRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.jitterRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
  }

  long timeNanos() {
    return timeNanos;
  }

  ClockReading now() {
    return new ClockReading(timeNanos, timeNanos / NANOS_PER_MILLI);
  }

  void scheduleAt(long nanos, Runnable action) {
    events.add(new ScheduledEvent(nanos, nextSequence++, action));
  }

  void send(int from, int to, Runnable delivery) {
    messageCount++;
    boolean sameDomain = from % failureDomainCount == to % failureDomainCount;
    double latencyNanos = sameDomain ? 100_000 : crossDomainNanos;
    scheduleAt(
        timeNanos + (long) (latencyNanos * (1 + LATENCY_JITTER * jitterRandom.nextDouble())),
        delivery);
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      ScheduledEvent event = events.poll();
      timeNanos = event.atNanos();
      event.action().run();
    }
  }

  static InstanceId instanceId(int instance) {
    return new InstanceId("entry-" + instance);
  }

  static int instanceIndex(InstanceId id) {
    return Integer.parseInt(id.value().substring("entry-".length()));
  }

  /** Creates eight organisations, of which two have 40 times the rate of the others. */
  static List<Organisation> createOrganisations() {
    List<Organisation> result = new ArrayList<>();
    for (int i = 0; i < ORGANISATION_COUNT; i++) {
      double rate = i < 2 ? 400 : 10;
      result.add(new Organisation(new OrganisationId("team/o" + i), rate, rate / 2));
    }
    return result;
  }

  Configuration createConfiguration(long offset, Set<Integer> members) {
    List<Member> memberList =
        members.stream()
            .map(
                i ->
                    new Member(
                        instanceId(i), 1, new FailureDomain("d" + i % failureDomainCount), ""))
            .toList();
    TeamSettings team =
        new TeamSettings("team", createOrganisations(), List.of(), List.of(), List.of());
    return Configuration.of(
        offset, Map.of("team", team), Set.of(), new Members(offset, memberList));
  }
}
