package org.bergamotcross.standin;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamotcross.standin.FaultScope.Operation;

/** Active faults by operation: one for all clients, and overrides for named clients. */
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

  /** Sets a fault; one for all clients also clears the overrides of the operations in its scope. */
  void set(PlatformFault fault, FaultScope scope) {
    faults.forEach(
        (operation, active) -> {
          if (scope.operation().includes(operation)) {
            set(active, fault, scope);
          }
        });
  }

  private static void set(Faults active, PlatformFault fault, FaultScope scope) {
    if (scope.instances().isEmpty()) {
      active.byClient.clear();
      active.forAllClients = fault;
    } else {
      scope.instances().forEach(instance -> active.byClient.put(instance, fault));
    }
  }

  /** Returns the active fault for a request; the operation is READS or APPENDS. */
  PlatformFault find(Optional<String> client, Operation operation) {
    Faults active = faults.get(operation);
    return client.map(active.byClient::get).orElse(active.forAllClients);
  }
}
