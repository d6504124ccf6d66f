package org.bergamotcross.entry.catalog;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetEntry;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.CatalogSource;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.PluginContext;

/** Publishes the settings in force and the usable targets as the instance's configuration. */
final class CatalogPublisher {
  /** Ejection needs no floor here: the routing duty's estimates only rank targets. */
  private static final double NO_EJECTION_FLOOR = 0;

  private static final Duration UNLIMITED_VALIDITY = Duration.ofDays(365);

  private final PluginContext context;
  private final Consumer<CatalogStatus> statusListener;
  private List<TargetEntry> publishedTargets = List.of();
  private long revision = -1;
  private Optional<Freshness> freshness = Optional.empty();

  CatalogPublisher(PluginContext context, Consumer<CatalogStatus> statusListener) {
    this.context = context;
    this.statusListener = statusListener;
  }

  /**
   * Publishes the configuration if it has changed.
   *
   * @param settings the settings in force
   * @param settingsChanged whether they were adopted just now
   * @param targets the usable targets
   * @param targetsEnd the position up to which the list of targets is known; empty before the first
   *     complete list
   * @param from the origin of the change, for the event
   */
  void publishIfChanged(
      Optional<CatalogSource.CatalogSettings> settings,
      boolean settingsChanged,
      List<TargetEntry> targets,
      Optional<CatalogPosition> targetsEnd,
      String from,
      ClockReading now) {
    boolean targetsChanged = !hasSameTargets(targets, publishedTargets);
    if (targetsChanged) {
      CatalogPosition end = targetsEnd.orElse(CatalogPosition.START);
      context
          .events()
          .event("targets.changed")
          .with("from", from)
          .with("targets", targets.size())
          .with("before", publishedTargets.size())
          .with("era", end.era())
          .with("offset", end.offset())
          .with("gone", idsMissingFrom(publishedTargets, targets))
          .with("new", idsMissingFrom(targets, publishedTargets))
          .emit();
      publishedTargets = targets;
    }
    settings.ifPresent(
        s -> {
          if (settingsChanged || targetsChanged) {
            publish(s);
          }
          if (targetsEnd.isPresent()) {
            publishFreshnessOnce(s, now);
          }
        });
  }

  private static boolean hasSameTargets(List<TargetEntry> a, List<TargetEntry> b) {
    if (a.size() != b.size()) {
      return false;
    }
    for (int i = 0; i < a.size(); i++) {
      TargetEntry first = a.get(i);
      TargetEntry second = b.get(i);
      if (!first.target().equals(second.target())
          || !first.pool().equals(second.pool())
          || first.slots() != second.slots()) {
        return false;
      }
    }
    return true;
  }

  private static String idsMissingFrom(List<TargetEntry> entries, List<TargetEntry> others) {
    Set<Target> known = others.stream().map(TargetEntry::target).collect(Collectors.toSet());
    return entries.stream()
        .map(TargetEntry::target)
        .filter(target -> !known.contains(target))
        .map(target -> target.id().value())
        .collect(Collectors.joining(","));
  }

  private void publish(CatalogSource.CatalogSettings settings) {
    revision++;
    TeamSettings team =
        new TeamSettings(
            CatalogDuty.PUBLISHED_TEAM,
            settings.organisations(),
            settings.keys(),
            pools(settings),
            settings.routes());
    context.publish(
        Broadcasts.CONFIGURATION,
        Configuration.of(
            revision, Map.of(CatalogDuty.PUBLISHED_TEAM, team), Set.of(), Members.NONE));
    reportStatus(settings);
  }

  /**
   * Marks the configuration as fresh once both settings and targets are known; from then on the
   * instance serves requests with it.
   */
  private void publishFreshnessOnce(CatalogSource.CatalogSettings settings, ClockReading now) {
    if (freshness.isEmpty()) {
      freshness = Optional.of(new Freshness(now.plus(UNLIMITED_VALIDITY), Freshness.Source.LOG));
      context.publish(Broadcasts.FRESHNESS, freshness.get());
      reportStatus(settings);
    }
  }

  private void reportStatus(CatalogSource.CatalogSettings settings) {
    statusListener.accept(new CatalogStatus(revision, settings.version(), freshness));
  }

  private List<Pool> pools(CatalogSource.CatalogSettings settings) {
    Map<PoolId, List<TargetEntry>> byPool = new HashMap<>();
    publishedTargets.forEach(e -> byPool.computeIfAbsent(e.pool(), id -> new ArrayList<>()).add(e));
    return settings.pools().stream()
        .map(
            id -> {
              List<TargetEntry> entries = byPool.getOrDefault(id, List.of());
              int slots = entries.stream().mapToInt(TargetEntry::slots).min().orElse(1);
              return new Pool(
                  id, NO_EJECTION_FLOOR, slots, entries.stream().map(TargetEntry::target).toList());
            })
        .toList();
  }
}
