package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.PluginContext;

/**
 * Reads the directory of instances, registers this instance and removes departed ones.
 *
 * <p>A restore of the store may lose entries. An instance whose entry was lost registers again at
 * once and keeps its share, which only a removal by a majority ends.
 */
final class InstancesFollower {
  private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

  /**
   * When the directory is read after a restore. Other instances register again within 5 s. A
   * removal whose response was lost may be executed some seconds later, and its condition may hold
   * in the new era by coincidence.
   */
  private static final List<Duration> READS_AFTER_RESTORE =
      List.of(Duration.ZERO, Duration.ofSeconds(5), Duration.ofSeconds(30));

  private final Member self;
  private final CatalogSource source;
  private final StoreMonitor store;
  private final PluginContext context;
  private final Consumer<CatalogInput> completions;
  private final NavigableSet<ClockReading> readsDue = new TreeSet<>();
  private final Set<InstanceId> pendingRemovals = new HashSet<>();
  private Optional<ClockReading> registerAt = Optional.empty();

  /** The era of the last read or registration that showed the entry of this instance. */
  private OptionalLong ownEntryEra = OptionalLong.empty();

  /** Whether the directory listed this instance when last read, not counting lost entries. */
  private boolean listed;

  private boolean awaitsRegistration;

  InstancesFollower(
      Member self,
      CatalogSource source,
      StoreMonitor store,
      PluginContext context,
      Consumer<CatalogInput> completions,
      ClockReading now) {
    this.self = self;
    this.source = source;
    this.store = store;
    this.context = context;
    this.completions = completions;
    readsDue.add(now);
  }

  void callIfDue(ClockReading now) {
    NavigableSet<ClockReading> due = readsDue.headSet(now, true);
    if (!due.isEmpty()) {
      due.clear();
      source
          .readDirectory()
          .thenAccept(r -> completions.accept(new CatalogInput.DirectoryReadCompleted(r)));
    }
    if (registerAt.filter(at -> !now.isBefore(at)).isPresent()) {
      registerAt = Optional.empty();
      source
          .register(self)
          .thenAccept(r -> completions.accept(new CatalogInput.RegistrationCompleted(r)));
    }
  }

  /** Returns when the next call is due; empty if none is planned. */
  Optional<ClockReading> nextCallAt() {
    return Stream.concat(readsDue.stream().limit(1), registerAt.stream()).sorted().findFirst();
  }

  /** Reads the directory again, because the store may have lost entries or changed others. */
  void onRestored(ClockReading now) {
    READS_AFTER_RESTORE.forEach(delay -> readsDue.add(now.plus(delay)));
  }

  void onRead(CatalogSource.DirectoryReadResult result, ClockReading now) {
    switch (result) {
      // A late answer of an earlier era.
      case CatalogSource.DirectoryReadResult.Read read when read.era() < store.era() ->
          readsDue.add(now.plus(RETRY_DELAY));
      case CatalogSource.DirectoryReadResult.Read read -> onRead(read, now);
      case CatalogSource.DirectoryReadResult.Unavailable unavailable -> {
        readsDue.add(now.plus(RETRY_DELAY));
        store.recordFailure("instances", unavailable.reason(), now);
      }
    }
  }

  private void onRead(CatalogSource.DirectoryReadResult.Read read, ClockReading now) {
    Optional<Member> entry =
        read.members().stream().filter(m -> m.id().equals(self.id())).findFirst();
    List<Member> others = read.members().stream().filter(m -> !m.id().equals(self.id())).toList();
    boolean isLost =
        entry.isEmpty() && ownEntryEra.isPresent() && ownEntryEra.getAsLong() < read.era();
    context
        .events()
        .event("directory.read")
        .with("others", others.size())
        .with("has-self", entry.isPresent())
        .with("lost-self", isLost)
        .emit();
    if (entry.isPresent()) {
      ownEntryEra = OptionalLong.of(read.era());
      listed = true;
    } else if (!isLost) {
      ownEntryEra = OptionalLong.empty();
      listed = false;
    }
    context.publish(Broadcasts.DIRECTORY, new Broadcasts.InstanceDirectory(others, listed));
    if (isLost || entry.filter(e -> !e.peerAddress().equals(self.peerAddress())).isPresent()) {
      registerAt = Optional.of(now);
    }
  }

  void onFleetChanged(FleetView view, ClockReading now) {
    if (view.awaitsRegistration() && !awaitsRegistration) {
      registerAt = Optional.of(now);
    }
    awaitsRegistration = view.awaitsRegistration();
    for (InstanceId removed : view.departed()) {
      if (pendingRemovals.add(removed)) {
        source
            .deregister(removed)
            .thenAccept(r -> completions.accept(new CatalogInput.RemovalCompleted(removed, r)));
      }
    }
  }

  /**
   * Reads the directory again after registration, because an instance that registered concurrently
   * may not know of this one.
   */
  void onRegistered(CatalogSource.DirectoryUpdateResult result, ClockReading now) {
    switch (result) {
      case CatalogSource.DirectoryUpdateResult.Acknowledged acknowledged -> {
        ownEntryEra = OptionalLong.of(Math.max(acknowledged.era(), ownEntryEra.orElse(0)));
        readsDue.add(now);
      }
      case CatalogSource.DirectoryUpdateResult.OutcomeUnknown unknown -> {
        registerAt = Optional.of(now.plus(RETRY_DELAY));
        store.recordFailure("instances", unknown.reason(), now);
      }
    }
  }

  void onRemovalCompleted(
      InstanceId removed, CatalogSource.DirectoryUpdateResult result, ClockReading now) {
    pendingRemovals.remove(removed);
    switch (result) {
      case CatalogSource.DirectoryUpdateResult.Acknowledged ignored -> {
        context.events().event("directory.removed").with("instance", removed).emit();
        context.publish(Broadcasts.INSTANCE_REMOVED, removed);
      }
      // The next fleet view lists the instance again, which triggers another attempt.
      case CatalogSource.DirectoryUpdateResult.OutcomeUnknown unknown ->
          store.recordFailure("instances", unknown.reason(), now);
    }
  }
}
