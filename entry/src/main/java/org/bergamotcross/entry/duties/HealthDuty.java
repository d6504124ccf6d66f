package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.HealthDecision;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.PoolHealth;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.entry.HealthMessage;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;

/**
 * Runs {@link PoolHealth} for each pool: takes evidence about targets and publishes their status.
 */
final class HealthDuty implements DutyHandler<HealthMessage> {
  static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  private final InstanceId self;
  private final FailureDomain ownDomain;
  private final PeerExchange exchange;
  private final EvidenceBroadcaster evidenceBroadcaster;
  private final Consumer<HealthView> viewPublisher;
  private final HealthReporter reporter;
  private final Map<PoolId, PoolHealth> pools = new LinkedHashMap<>();
  private final Map<PoolId, Map<TargetId, TargetStatus>> statuses = new HashMap<>();
  private Set<TargetId> leavingTargets = Set.of();
  private ClockReading inFlightSentAt;
  private boolean lastInFlightWasEmpty = true;

  HealthDuty(
      InstanceId self,
      FailureDomain ownDomain,
      PeerExchange exchange,
      Consumer<HealthView> viewPublisher,
      HealthReporter reporter,
      ClockReading now) {
    this.self = self;
    this.ownDomain = ownDomain;
    this.exchange = exchange;
    this.evidenceBroadcaster = new EvidenceBroadcaster(exchange);
    this.viewPublisher = viewPublisher;
    this.reporter = reporter;
    this.inFlightSentAt = now;
  }

  @Override
  public void onMessage(HealthMessage message, ClockReading now) {
    switch (message) {
      case HealthMessage.AttemptStarted started -> {
        PoolHealth health = pools.get(started.pool());
        if (health != null) {
          applyDecisions(
              health, health.onAttemptStarted(started.attempt(), started.target(), now), now);
        }
      }
      case HealthMessage.ResponseStarted started -> {
        PoolHealth health = pools.get(started.pool());
        if (health != null) {
          health.onResponseHead(started.attempt(), started.target());
        }
      }
      case HealthMessage.AttemptEnded ended -> {
        PoolHealth health = pools.get(ended.pool());
        if (health != null) {
          applyDecisions(
              health,
              health.onAttemptEnded(
                  ended.attempt(), ended.target(), ended.result(), ended.timeToHead(), now),
              now);
        }
      }
      case HealthEvent event -> onEvent(event, now);
      case HealthMessage.Internal ignored -> {}
    }
  }

  private void onEvent(HealthEvent event, ClockReading now) {
    switch (event) {
      case HealthEvent.ConfigurationChanged changed -> configure(changed.configuration(), now);
      case HealthEvent.LeavingTargetsChanged changed -> {
        leavingTargets = changed.targets();
        pools
            .values()
            .forEach(
                health ->
                    applyDecisions(health, health.updateDrainingTargets(leavingTargets, now), now));
      }
      case HealthEvent.PeerReportReceived received -> {
        PoolHealth health = pools.get(received.report().pool());
        if (health != null) {
          applyDecisions(health, health.onPeerReport(received.report(), now), now);
        }
      }
    }
  }

  private void configure(Configuration configuration, ClockReading now) {
    Set<PoolId> configured = new HashSet<>();
    for (Pool pool : configuration.pools()) {
      configured.add(pool.id());
      PoolHealth known = pools.get(pool.id());
      if (known == null) {
        PoolHealth added = new PoolHealth(self, exchange.incarnation(), ownDomain, pool, now);
        pools.put(pool.id(), added);
        applyDecisions(added, added.updateDrainingTargets(leavingTargets, now), now);
      } else if (!known.pool().equals(pool)) {
        applyDecisions(known, known.configure(pool, now), now);
        applyDecisions(known, known.updateDrainingTargets(leavingTargets, now), now);
      }
    }
    pools.keySet().retainAll(configured);
    if (statuses.keySet().retainAll(configured)) {
      publishView();
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    boolean changed = false;
    for (PoolHealth health : pools.values()) {
      health.tick(now).forEach(decision -> reporter.reportDecision(health.poolId(), decision));
      changed |= updateStatuses(health, now);
      evidenceBroadcaster.sendIfDue(health, now);
    }
    if (changed) {
      publishView();
    }
    sendInFlight(now);
    return TICK_INTERVAL;
  }

  private void applyDecisions(PoolHealth health, List<HealthDecision> decisions, ClockReading now) {
    decisions.forEach(decision -> reporter.reportDecision(health.poolId(), decision));
    if (!decisions.isEmpty()) {
      if (updateStatuses(health, now)) {
        publishView();
      }
      evidenceBroadcaster.sendIfDue(health, now);
    }
  }

  private boolean updateStatuses(PoolHealth health, ClockReading now) {
    Map<TargetId, TargetStatus> current = health.statuses(now);
    Map<TargetId, TargetStatus> before = statuses.put(health.poolId(), current);
    return !current.equals(before == null ? Map.of() : before);
  }

  private void publishView() {
    Map<TargetId, TargetStatus> all = new HashMap<>();
    statuses.values().forEach(all::putAll);
    viewPublisher.accept(new HealthView(all));
  }

  private void sendInFlight(ClockReading now) {
    Duration interval = now.since(inFlightSentAt);
    if (interval.compareTo(EvidenceBroadcaster.MIN_INTERVAL) < 0) {
      return;
    }
    inFlightSentAt = now;
    Map<TargetId, Double> averages = new HashMap<>();
    pools.values().forEach(pool -> averages.putAll(pool.takeAverageInFlight(interval, now)));
    if (!averages.isEmpty() || !lastInFlightWasEmpty) {
      exchange.sendAll(InFlightMessage.KIND, InFlightMessage.fromAverages(averages));
    }
    lastInFlightWasEmpty = averages.isEmpty();
  }
}
