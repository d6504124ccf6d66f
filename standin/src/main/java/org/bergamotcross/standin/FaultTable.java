package org.bergamotcross.standin;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.standin.FaultScope.Direction;

/** The faults in force in each direction: one for all clients, and others for named clients. */
final class FaultTable {
  private static final PlatformFault NONE = new PlatformFault.None();

  private static final class Faults {
    private final Map<String, PlatformFault> named = new HashMap<>();
    private PlatformFault general = NONE;
  }

  private final Map<Direction, Faults> faults = new EnumMap<>(Direction.class);

  FaultTable() {
    faults.put(Direction.READS, new Faults());
    faults.put(Direction.APPENDS, new Faults());
  }

  /** Sets a fault; one for all clients replaces the faults of named clients in its direction. */
  void set(PlatformFault fault, FaultScope scope) {
    faults.forEach(
        (direction, inForce) -> {
          if (scope.direction().includes(direction)) {
            set(inForce, fault, scope);
          }
        });
  }

  private static void set(Faults inForce, PlatformFault fault, FaultScope scope) {
    if (scope.instances().isEmpty()) {
      inForce.named.clear();
      inForce.general = fault;
    } else {
      scope.instances().forEach(instance -> inForce.named.put(instance, fault));
    }
  }

  /** Returns the fault for a request; the direction is reads or appends. */
  PlatformFault fault(Optional<String> client, Direction direction) {
    Faults inForce = faults.get(direction);
    return client.map(inForce.named::get).orElse(inForce.general);
  }
}
