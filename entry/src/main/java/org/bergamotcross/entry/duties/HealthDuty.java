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
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Now;

/** Runs {@link PoolHealth} for each pool: evidence in, status of the targets out. */
final class HealthDuty implements DutyHandler<HealthMessage> {
  static final Duration TICK = Duration.ofMillis(50);

  private final InstanceId self;
  private final FailureDomain ownDomain;
  private final PeerExchange exchange;
  private final EvidenceSender evidence;
  private final Consumer<HealthView> publish;
  private final HealthLog log;
  private final Map<PoolId, PoolHealth> pools = new LinkedHashMap<>();
  private final Map<PoolId, Map<TargetId, TargetStatus>> statuses = new HashMap<>();
  private Set<TargetId> leaving = Set.of();
  private Now inFlightSentAt;
  private boolean inFlightWasEmpty = true;

  HealthDuty(
      InstanceId self,
      FailureDomain ownDomain,
      PeerExchange exchange,
      Consumer<HealthView> publish,
      HealthLog log,
      Now now) {
    this.self = self;
    this.ownDomain = ownDomain;
    this.exchange = exchange;
    this.evidence = new EvidenceSender(exchange);
    this.publish = publish;
    this.log = log;
    this.inFlightSentAt = now;
  }

  @Override
  public void onMessage(HealthMessage input, Now now) {
    switch (input) {
      case HealthMessage.AttemptStarted started -> {
        PoolHealth health = pools.get(started.pool());
        if (health != null) {
          apply(health, health.onAttemptStarted(started.attempt(), started.target(), now), now);
        }
      }
      case HealthMessage.ResponseStarted answering -> {
        PoolHealth health = pools.get(answering.pool());
        if (health != null) {
          health.onResponseHead(answering.attempt(), answering.target());
        }
      }
      case HealthMessage.AttemptEnded ended -> {
        PoolHealth health = pools.get(ended.pool());
        if (health != null) {
          apply(
              health,
              health.onAttemptEnded(
                  ended.attempt(), ended.target(), ended.result(), ended.timeToHead(), now),
              now);
        }
      }
      case HealthEvent message -> onOwnMessage(message, now);
      case HealthMessage.Internal ignored -> {}
    }
  }

  private void onOwnMessage(HealthEvent message, Now now) {
    switch (message) {
      case HealthEvent.Configured configured -> configure(configured.configuration(), now);
      case HealthEvent.Leaving list -> {
        leaving = list.targets();
        pools
            .values()
            .forEach(health -> apply(health, health.updateDrainingTargets(leaving, now), now));
      }
      case HealthEvent.Reported reported -> {
        PoolHealth health = pools.get(reported.report().pool());
        if (health != null) {
          apply(health, health.onPeerReport(reported.report(), now), now);
        }
      }
    }
  }

  private void configure(Configuration configuration, Now now) {
    Set<PoolId> configured = new HashSet<>();
    for (Pool pool : configuration.pools()) {
      configured.add(pool.id());
      PoolHealth known = pools.get(pool.id());
      if (known == null) {
        PoolHealth added = new PoolHealth(self, exchange.incarnation(), ownDomain, pool, now);
        pools.put(pool.id(), added);
        apply(added, added.updateDrainingTargets(leaving, now), now);
      } else if (!known.pool().equals(pool)) {
        apply(known, known.configure(pool, now), now);
        apply(known, known.updateDrainingTargets(leaving, now), now);
      }
    }
    pools.keySet().retainAll(configured);
    if (statuses.keySet().retainAll(configured)) {
      publishView();
    }
  }

  @Override
  public Duration onTick(Now now) {
    boolean changed = false;
    for (PoolHealth health : pools.values()) {
      health.tick(now).forEach(decision -> log.write(health.poolId(), decision));
      changed |= refresh(health, now);
      evidence.send(health, now);
    }
    if (changed) {
      publishView();
    }
    sendInFlight(now);
    return TICK;
  }

  private void apply(PoolHealth health, List<HealthDecision> decisions, Now now) {
    decisions.forEach(decision -> log.write(health.poolId(), decision));
    if (!decisions.isEmpty()) {
      if (refresh(health, now)) {
        publishView();
      }
      evidence.send(health, now);
    }
  }

  private boolean refresh(PoolHealth health, Now now) {
    Map<TargetId, TargetStatus> current = health.statuses(now);
    Map<TargetId, TargetStatus> before = statuses.put(health.poolId(), current);
    return !current.equals(before == null ? Map.of() : before);
  }

  private void publishView() {
    Map<TargetId, TargetStatus> all = new HashMap<>();
    statuses.values().forEach(all::putAll);
    publish.accept(new HealthView(all));
  }

  private void sendInFlight(Now now) {
    Duration interval = now.since(inFlightSentAt);
    if (interval.compareTo(EvidenceSender.INTERVAL) < 0) {
      return;
    }
    inFlightSentAt = now;
    Map<TargetId, Double> averages = new HashMap<>();
    pools.values().forEach(pool -> averages.putAll(pool.takeAverageInFlight(interval, now)));
    if (!averages.isEmpty() || !inFlightWasEmpty) {
      exchange.sendAll(InFlightMessage.KIND, InFlightMessage.of(averages));
    }
    inFlightWasEmpty = averages.isEmpty();
  }
}
