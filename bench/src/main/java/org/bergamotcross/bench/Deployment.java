package org.bergamotcross.bench;

import java.util.ArrayList;
import java.util.List;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;

/**
 * The size and the network latency of one target pool and the fleet in front of it.
 *
 * @param name the pool name in reports
 * @param failureDomains the number of failure domains
 * @param instances the number of entry instances
 * @param targets the number of targets in the pool
 * @param crossDomainMicros the one-way latency between two failure domains, in microseconds
 */
record Deployment(
    String name, int failureDomains, int instances, int targets, int crossDomainMicros) {
  static final int SLOTS_PER_TARGET = 4;
  private static final double POOL_FLOOR = 0.5;
  private static final int SAME_DOMAIN_MICROS = 100;

  /** The pools of both production deployments. */
  static final List<Deployment> ALL =
      List.of(
          new Deployment("wislotrans-6", 3, 17, 6, 500),
          new Deployment("wislotrans-12", 3, 17, 12, 500),
          new Deployment("wislotrans-16", 3, 17, 16, 500),
          new Deployment("kovac-8", 4, 18, 8, 1_500),
          new Deployment("kovac-13", 4, 18, 13, 1_500),
          new Deployment("kovac-14", 4, 18, 14, 1_500));

  Pool createPool() {
    List<Target> targetList = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      targetList.add(new Target(targetId(i), "127.0.0.1", 9_000 + i, failureDomain(i)));
    }
    return new Pool(new PoolId("team/" + name), POOL_FLOOR, SLOTS_PER_TARGET, targetList);
  }

  static TargetId targetId(int index) {
    return new TargetId("t" + index);
  }

  /** Returns the failure domain of an instance or target; indexes are assigned round robin. */
  int domainIndex(int index) {
    return index % failureDomains;
  }

  FailureDomain failureDomain(int index) {
    return new FailureDomain("d" + domainIndex(index));
  }

  /** Returns the one-way latency between two instances or targets. */
  int oneWayMicros(int one, int other) {
    return domainIndex(one) == domainIndex(other) ? SAME_DOMAIN_MICROS : crossDomainMicros;
  }
}
