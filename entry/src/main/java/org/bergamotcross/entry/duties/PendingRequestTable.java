package org.bergamotcross.entry.duties;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.bergamotcross.entry.RequestHandle;

/**
 * Holds the requests that wait in admission. Not thread-safe; used only by the admission thread.
 */
final class PendingRequestTable {
  private final Map<String, PendingRequest> byId = new HashMap<>();
  private final IdentityHashMap<RequestHandle, PendingRequest> byHandle = new IdentityHashMap<>();

  void add(PendingRequest pending) {
    byId.put(pending.uniqueId(), pending);
    byHandle.put(pending.request().request().handle(), pending);
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  Optional<PendingRequest> find(String uniqueId) {
    return Optional.ofNullable(byId.get(uniqueId));
  }

  Optional<PendingRequest> find(RequestHandle handle) {
    return Optional.ofNullable(byHandle.get(handle));
  }

  void remove(PendingRequest pending) {
    byId.remove(pending.uniqueId());
    byHandle.remove(pending.request().request().handle());
  }

  List<PendingRequest> findAll(Predicate<PendingRequest> condition) {
    return byId.values().stream().filter(condition).toList();
  }
}
