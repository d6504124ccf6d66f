package org.bergamotcross.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the latest edits that were accepted or refused, to detect repeated appends.
 *
 * <p>The bound is safe because an edit can't be accepted twice: an accepted edit raises the version
 * of its path above its own {@code basedOn} permanently, so a repeat that was evicted here is
 * refused as a conflict. The content is a function of the log and part of each snapshot, so all
 * readers detect the same repeats.
 */
final class SeenEdits {
  // Covers half an hour at 41,000 edits a day; a command repeats an append within seconds.
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
