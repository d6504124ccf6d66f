package org.bergamotcross.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the latest edits that were judged, so that a repeated append is told as such.
 *
 * <p>The bound is safe because it decides no double acceptance: an accepted edit raises the version
 * of its path above its own {@code basedOn} for ever, so a repeat that is no longer remembered is
 * refused as a conflict. The content of this set is a function of the log and part of each
 * snapshot, so all readers give the same answer.
 */
final class SeenEdits {
  // At 41,000 edits a day this covers the repeats of half an hour; a command repeats within
  // seconds.
  static final int CAPACITY = 1_024;

  private final Map<String, EditReference> edits = new LinkedHashMap<>();

  static SeenEdits of(List<EditReference> references) {
    SeenEdits seen = new SeenEdits();
    references.forEach(seen::add);
    return seen;
  }

  Optional<EditReference> find(String editId) {
    return Optional.ofNullable(edits.get(editId));
  }

  void add(EditReference reference) {
    edits.putIfAbsent(reference.editId(), reference);
    if (edits.size() > CAPACITY) {
      edits.remove(edits.keySet().iterator().next());
    }
  }

  List<EditReference> list() {
    return new ArrayList<>(edits.values());
  }
}
