package org.bergamotcross.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The faults in force: one for all clients, and others for named clients. */
final class FaultTable {
  private static final PlatformFault NONE = new PlatformFault.None();

  private record Rule(PlatformFault fault, FaultScope.Direction direction) {
    PlatformFault fault(FaultScope.Direction of) {
      return direction.includes(of) ? fault : NONE;
    }
  }

  private final Map<String, Rule> named = new HashMap<>();
  private Rule general = new Rule(NONE, FaultScope.Direction.BOTH);

  /** Sets a fault; one for all clients replaces the faults of named clients. */
  void set(PlatformFault fault, FaultScope scope) {
    Rule rule = new Rule(fault, scope.direction());
    if (scope.instances().isEmpty()) {
      named.clear();
      general = rule;
    } else {
      scope.instances().forEach(instance -> named.put(instance, rule));
    }
  }

  PlatformFault fault(Optional<String> client, FaultScope.Direction direction) {
    return client.map(named::get).orElse(general).fault(direction);
  }
}
