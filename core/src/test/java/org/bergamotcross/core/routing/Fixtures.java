package org.bergamotcross.core.routing;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;

/** Pools and random number generators for the tests of this package. */
final class Fixtures {
  static final PoolId POOL = new PoolId("team/pool");

  private Fixtures() {}

  static UniformRandomProvider random(long seed) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  static TargetId id(int index) {
    return new TargetId("t" + index);
  }

  static FailureDomain domain(int index) {
    return new FailureDomain("d" + index);
  }

  /** Target {@code i} runs in failure domain {@code i % 3}. */
  static Pool pool(int size, double floor) {
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      targets.add(new Target(id(i), "127.0.0.1", 9000 + i, domain(i % 3)));
    }
    return new Pool(POOL, floor, 4, targets);
  }
}
