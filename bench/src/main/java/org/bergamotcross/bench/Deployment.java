package org.bergamotcross.bench;

import java.util.ArrayList;
import java.util.List;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;

/**
 * The size of one pool and of the fleet before it.
 *
 * @param name the name in reports
 * @param failureDomains the number of failure domains
 * @param instances the number of entry instances
 * @param targets the number of targets of the pool
 * @param crossMicros the time between two failure domains, one way, in microseconds
 */
record Deployment(String name, int failureDomains, int instances, int targets, int crossMicros) {
  static final int SLOTS = 4;
  private static final double FLOOR = 0.5;
  private static final int HOME_MICROS = 100;

  /** The pools of both deployments. */
  static final List<Deployment> ALL =
      List.of(
          new Deployment("wislotrans-6", 3, 17, 6, 500),
          new Deployment("wislotrans-12", 3, 17, 12, 500),
          new Deployment("wislotrans-16", 3, 17, 16, 500),
          new Deployment("kovac-8", 4, 18, 8, 1_500),
          new Deployment("kovac-13", 4, 18, 13, 1_500),
          new Deployment("kovac-14", 4, 18, 14, 1_500));

  Pool pool() {
    List<Target> list = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      list.add(new Target(targetId(i), "127.0.0.1", 9_000 + i, domain(i)));
    }
    return new Pool(new PoolId("team/" + name), FLOOR, SLOTS, list);
  }

  static TargetId targetId(int index) {
    return new TargetId("t" + index);
  }

  /** Instances and targets are spread over the failure domains in turn. */
  int domainOf(int index) {
    return index % failureDomains;
  }

  FailureDomain domain(int index) {
    return new FailureDomain("d" + domainOf(index));
  }

  /** Returns the time for one way between an instance or target and another one. */
  int wayMicros(int one, int other) {
    return domainOf(one) == domainOf(other) ? HOME_MICROS : crossMicros;
  }
}
