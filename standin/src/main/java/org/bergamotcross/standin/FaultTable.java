package org.bergamotcross.standin;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.standin.FaultScope.Operation;

/** The faults in force in each direction: one for all clients, and others for named clients. */
final class FaultTable {
  private static final PlatformFault NONE = new PlatformFault.None();

  private static final class Faults {
    private final Map<String, PlatformFault> byClient = new HashMap<>();
    private PlatformFault forAllClients = NONE;
  }

  private final Map<Operation, Faults> faults = new EnumMap<>(Operation.class);

  FaultTable() {
    faults.put(Operation.READS, new Faults());
    faults.put(Operation.APPENDS, new Faults());
  }

  /** Sets a fault; one for all clients replaces the faults of named clients in its direction. */
  void set(PlatformFault fault, FaultScope scope) {
    faults.forEach(
        (direction, inForce) -> {
          if (scope.operation().includes(direction)) {
            set(inForce, fault, scope);
          }
        });
  }

  private static void set(Faults inForce, PlatformFault fault, FaultScope scope) {
    if (scope.instances().isEmpty()) {
      inForce.byClient.clear();
      inForce.forAllClients = fault;
    } else {
      scope.instances().forEach(instance -> inForce.byClient.put(instance, fault));
    }
  }

  /** Returns the fault for a request; the direction is reads or appends. */
  PlatformFault find(Optional<String> client, Operation direction) {
    Faults inForce = faults.get(direction);
    return client.map(inForce.byClient::get).orElse(inForce.forAllClients);
  }
}
