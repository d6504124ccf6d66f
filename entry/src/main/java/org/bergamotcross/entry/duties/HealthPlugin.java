package org.bergamotcross.entry.duties;

import java.util.List;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.HealthMessage;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.Setting;

/**
 * Runs the health duty, which judges targets by the requests of this instance and by evidence from
 * peers.
 */
public final class HealthPlugin implements Plugin {
  private static final Setting<String> ID = Setting.name("instance", "id");
  private static final Setting<String> FAILURE_DOMAIN = Setting.name("instance", "failure-domain");

  // Two messages for each attempt: holds one second at 4,000 requests per second while the thread
  // is busy.
  private static final int RING_CAPACITY = 16_384;

  private Ring<HealthMessage> ring;

  /** Creates the plug-in; called by the kernel. */
  public HealthPlugin() {}

  @Override
  public String name() {
    return "health";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(ID, FAILURE_DOMAIN);
  }

  @Override
  public void configure(PluginContext context) {
    ring = context.openRing(Topics.HEALTH, RING_CAPACITY);
    context.subscribe(
        Broadcasts.CONFIGURATION,
        configuration -> ring.offerReserved(new HealthEvent.ConfigurationChanged(configuration)));
    context.subscribe(
        Broadcasts.LEAVING_TARGETS,
        list -> ring.offerReserved(new HealthEvent.LeavingTargetsChanged(list.targets())));
  }

  @Override
  public void start(PluginContext context) {
    PeerExchange exchange =
        context
            .service(PeerExchange.class)
            .orElseThrow(() -> new IllegalStateException("no plug-in provides a peer exchange"));
    exchange.handle(
        EvidenceMessage.KIND,
        EvidenceMessage.class,
        (from, message) -> ring.offer(new HealthEvent.PeerReportReceived(message.toReport(from))));
    exchange.handle(
        InFlightMessage.KIND,
        InFlightMessage.class,
        (from, message) ->
            context.publish(
                Broadcasts.PEER_IN_FLIGHT,
                new Broadcasts.PeerInFlight(from.id(), message.toAverages())));
    context.startDuty(
        Topics.HEALTH,
        new HealthDuty(
            new InstanceId(context.settings().value(ID)),
            new FailureDomain(context.settings().value(FAILURE_DOMAIN)),
            exchange,
            view -> context.publish(Broadcasts.HEALTH, view),
            new HealthReporter(context.events()),
            context.time().now()));
  }
}
