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
import org.bergamotcross.kernel.Now;

/**
 * The instances, organisations and messages of one deployment, for models of admission.
 *
 * <p>It models no log and no freshness: a run publishes each configuration to all instances that
 * are up, 500 ms after its cause, and instances stay fresh.
 */
final class AdmissionModel {
  static final long MILLI = 1_000_000;
  private static final int ORGANISATIONS = 8;
  private static final double JITTER = 0.2;

  private record Event(long at, long order, Runnable action) {}

  final int instances;
  final int domains;
  // Arrivals have their own source, so that all policies see the same ones.
  final UniformRandomProvider arrivals;
  private final UniformRandomProvider random;
  private final long crossNanos;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private long order;
  private long time;
  long messages;

  AdmissionModel(int instances, int domains, long crossNanos, long seed) {
    this.instances = instances;
    this.domains = domains;
    this.crossNanos = crossNanos;
    this.arrivals = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
  }

  long time() {
    return time;
  }

  Now now() {
    return new Now(time, time / MILLI);
  }

  void at(long nanos, Runnable action) {
    events.add(new Event(nanos, order++, action));
  }

  void send(int from, int to, Runnable delivery) {
    messages++;
    boolean home = from % domains == to % domains;
    double way = home ? 100_000 : crossNanos;
    at(time + (long) (way * (1 + JITTER * random.nextDouble())), delivery);
  }

  void runUntil(long nanos) {
    while (!events.isEmpty() && events.peek().at() <= nanos) {
      Event event = events.poll();
      time = event.at();
      event.action().run();
    }
  }

  static InstanceId id(int instance) {
    return new InstanceId("entry-" + instance);
  }

  static int index(InstanceId id) {
    return Integer.parseInt(id.value().substring("entry-".length()));
  }

  /** Two organisations have 40 times the rate of the others. */
  static List<Organisation> organisations() {
    List<Organisation> list = new ArrayList<>();
    for (int i = 0; i < ORGANISATIONS; i++) {
      double rate = i < 2 ? 400 : 10;
      list.add(new Organisation(new OrganisationId("team/o" + i), rate, rate / 2));
    }
    return list;
  }

  Configuration configuration(long offset, Set<Integer> members) {
    List<Member> list =
        members.stream()
            .map(i -> new Member(id(i), 1, new FailureDomain("d" + i % domains), ""))
            .toList();
    TeamSettings team = new TeamSettings("team", organisations(), List.of(), List.of(), List.of());
    return Configuration.of(offset, Map.of("team", team), Set.of(), new Members(offset, list));
  }
}
