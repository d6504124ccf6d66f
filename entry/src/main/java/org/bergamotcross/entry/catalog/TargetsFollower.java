package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.config.TargetDirectory;
import org.bergamotcross.core.config.TargetEntry;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.core.membership.ReadSchedule;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;

/**
 * Follows the list of targets by reads of this instance and by what peers have read.
 *
 * <p>After a restore of the store, the first complete list of the new era replaces the position.
 * Targets that it doesn't name get the grace period for removals, because their entries may have
 * been lost and be written again.
 */
final class TargetsFollower {
  /** Longer than the reads of targets are apart while the first reader reaches the store. */
  private static final Duration OUTAGE_THRESHOLD = Duration.ofMillis(1_200);

  /** Targets whose entries the store has lost register again about 2 s after its return. */
  private static final Duration REMOVAL_GRACE_PERIOD = Duration.ofMillis(2_500);

  /**
   * The records that a read of this instance returned, to be sent to the peers.
   *
   * @param from the position that the read requested
   * @param to the position up to which this instance knows the list, exclusive
   * @param changes the records
   * @param complete whether the records are the newest of all targets
   */
  record ReadRecords(
      CatalogPosition from, CatalogPosition to, List<TargetChange> changes, boolean complete) {
    /** Copies the list. */
    ReadRecords {
      changes = List.copyOf(changes);
    }
  }

  private final CatalogSource source;
  private final ReadSchedule readSchedule;
  private final StoreMonitor store;
  private final EventLog events;
  private final Consumer<CatalogInput> completions;
  private final TargetDirectory directory = new TargetDirectory();
  private CatalogPosition end = CatalogPosition.START;

  /** The position that the last read requested; the start for the first read. */
  private CatalogPosition readFrom = CatalogPosition.START;

  /** When this instance or a peer last read the list. */
  private ClockReading lastReadAt;

  private ClockReading lastFailedReadAt;
  private ClockReading removalGraceUntil;
  private boolean known;
  private boolean reading;

  TargetsFollower(
      CatalogSource source,
      ReadSchedule readSchedule,
      StoreMonitor store,
      EventLog events,
      Consumer<CatalogInput> completions,
      ClockReading lastReadAt,
      ClockReading now) {
    this.source = source;
    this.readSchedule = readSchedule;
    this.store = store;
    this.events = events;
    this.completions = completions;
    this.lastReadAt = lastReadAt;
    this.lastFailedReadAt = lastReadAt;
    this.removalGraceUntil = now;
  }

  /** Returns whether a complete list of targets was applied. */
  boolean isKnown() {
    return known;
  }

  /** Returns the position up to which the list is known, exclusive. */
  CatalogPosition end() {
    return end;
  }

  List<TargetEntry> usableTargets(ClockReading now) {
    return directory.usableTargets(now);
  }

  /** Returns when a grace period ends; empty if none is running. */
  Optional<ClockReading> nextExpiry(ClockReading now) {
    return directory.nextExpiry(now);
  }

  List<TargetChange> toRecords(ClockReading now) {
    return directory.toRecords(now);
  }

  void readIfDue(PeerView peers, ClockReading now) {
    if (!reading && !now.isBefore(dueAt(peers))) {
      reading = true;
      readFrom = end;
      source
          .readTargets(readFrom)
          .thenAccept(r -> completions.accept(new CatalogInput.TargetsReadCompleted(r)));
    }
  }

  /** Returns when the next read is due; empty while one is pending. */
  Optional<ClockReading> nextReadAt(PeerView peers) {
    return reading ? Optional.empty() : Optional.of(dueAt(peers));
  }

  private ClockReading dueAt(PeerView peers) {
    return readSchedule.dueAt(
        peers, lastReadAt.isAfter(lastFailedReadAt) ? lastReadAt : lastFailedReadAt);
  }

  /**
   * Takes the result of a read of this instance.
   *
   * @return what to send to the peers; empty if the read failed or returned nothing for them
   */
  Optional<ReadRecords> onRead(CatalogSource.TargetsReadResult result, ClockReading now) {
    reading = false;
    return switch (result) {
      case CatalogSource.TargetsReadResult.Changes read when read.end().era() == end.era() -> {
        store.recordSuccess();
        recordRead(now);
        List<TargetChange> applied = new ArrayList<>();
        for (TargetChange change : read.changes()) {
          TargetChange withGrace = withGracePeriod(change, now);
          if (directory.apply(withGrace, now)) {
            applied.add(
                withGrace instanceof TargetChange.Removed removed
                    ? directory.withLastReport(removed)
                    : withGrace);
          }
        }
        CatalogPosition from = end;
        end = CatalogPosition.latest(end, read.end());
        yield Optional.of(new ReadRecords(from, end, applied, false));
      }
      case CatalogSource.TargetsReadResult.CompleteList list when list.end().era() >= end.era() -> {
        store.recordSuccess();
        recordRead(now);
        applyCompleteList(list.records(), list.end(), "store", now);
        // After a start, the peers have a state of their own. The list of every instance that
        // starts would be most of the traffic between instances.
        yield readFrom.equals(CatalogPosition.START)
            ? Optional.empty()
            : Optional.of(new ReadRecords(CatalogPosition.START, list.end(), list.records(), true));
      }
      case CatalogSource.TargetsReadResult.Unavailable unavailable -> {
        // The peers read when it is their turn; this instance retries at its next turn.
        lastFailedReadAt = now;
        store.recordFailure("targets", unavailable.reason(), now);
        yield Optional.empty();
      }
      // A late answer: a peer has sent the list of a later era meanwhile.
      case CatalogSource.TargetsReadResult.Changes ignored -> ignoreLateAnswer(now);
      case CatalogSource.TargetsReadResult.CompleteList ignored -> ignoreLateAnswer(now);
    };
  }

  private Optional<ReadRecords> ignoreLateAnswer(ClockReading now) {
    lastFailedReadAt = now;
    return Optional.empty();
  }

  /**
   * Records a successful read of the list of targets by this instance or a peer.
   *
   * <p>If reads failed and none succeeded anywhere for {@link #OUTAGE_THRESHOLD}, the store was
   * unavailable and entries that expired meanwhile may reappear, so removals get a grace period. A
   * time without reads alone is no sign of it: the readers may have been lost.
   */
  private void recordRead(ClockReading now) {
    Duration interval = now.since(lastReadAt);
    if (known && store.hasFailedSince(lastReadAt) && interval.compareTo(OUTAGE_THRESHOLD) > 0) {
      removalGraceUntil = now.plus(REMOVAL_GRACE_PERIOD);
      events
          .event("removals.deferred")
          .with("unread-ms", interval.toMillis())
          .with("grace-ms", REMOVAL_GRACE_PERIOD.toMillis())
          .emit();
    }
    lastReadAt = now;
  }

  /**
   * Applies the newest records of all targets. The record of a removal may have been deleted from
   * the store, or lie in a range that this instance has not read, so the targets that the list
   * doesn't name are removed.
   */
  private void applyCompleteList(
      List<TargetChange> records, CatalogPosition listEnd, String from, ClockReading now) {
    if (listEnd.era() < end.era()) {
      return;
    }
    if (known && listEnd.era() > end.era()) {
      removalGraceUntil = now.plus(REMOVAL_GRACE_PERIOD);
    }
    Duration gracePeriod =
        now.isBefore(removalGraceUntil) ? removalGraceUntil.since(now) : Duration.ZERO;
    List<TargetId> removed = directory.applyComplete(records, listEnd, gracePeriod, now);
    end = CatalogPosition.latest(end, listEnd);
    known = true;
    if (!removed.isEmpty()) {
      events
          .event("targets.unlisted")
          .with("from", from)
          .with("era", listEnd.era())
          .with("offset", listEnd.offset())
          .with("listed", records.size())
          .with("removed", removed.stream().map(TargetId::value).collect(Collectors.joining(",")))
          .with("grace-ms", gracePeriod.toMillis())
          .emit();
    }
  }

  private TargetChange withGracePeriod(TargetChange change, ClockReading now) {
    return switch (change) {
      case TargetChange.Removed removed when isShorterThanGracePeriod(removed.gracePeriod(), now) ->
          new TargetChange.Removed(
              removed.position(), removed.id(), removalGraceUntil.since(now), removed.lastReport());
      default -> change;
    };
  }

  private boolean isShorterThanGracePeriod(Duration gracePeriod, ClockReading now) {
    return gracePeriod.compareTo(removalGraceUntil.since(now)) < 0;
  }

  /**
   * Takes the result of a peer's read. One of an earlier era has no effect and counts as no read.
   *
   * @return whether the peer knows records that this instance is missing
   */
  boolean onUpdate(String from, CatalogMessages.Update update, ClockReading now) {
    if (update.era() < end.era()) {
      return false;
    }
    recordRead(now);
    List<TargetChange> changes =
        update.changes().stream().map(CatalogMessages.TargetRecord::toChange).toList();
    if (update.complete()) {
      applyCompleteList(changes, update.end(), from, now);
    } else {
      changes.forEach(change -> directory.apply(withGracePeriod(change, now), now));
      // A read from offset 0 returns the newest records and skips those of removals.
      if (known
          && update.era() == end.era()
          && update.from() > 0
          && !end.isBefore(update.start())) {
        end = CatalogPosition.latest(end, update.end());
      }
    }
    return end.isBefore(update.end());
  }

  /** Applies the state of a peer that this instance requested. */
  void onSyncResponse(CatalogMessages.SyncResponse response, ClockReading now) {
    response
        .end()
        .ifPresent(
            peerEnd ->
                applyCompleteList(
                    response.targets().stream()
                        .map(CatalogMessages.TargetRecord::toChange)
                        .toList(),
                    peerEnd,
                    "peer",
                    now));
  }

  /** Returns whether the sender of a request is missing records that this instance knows. */
  boolean isMissing(CatalogMessages.SyncRequest request) {
    return known && new CatalogPosition(request.era(), request.targetsEnd()).isBefore(end);
  }
}
