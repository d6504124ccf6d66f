package org.bergamotcross.entry.duties;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.RingOfferResult;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.bergamotcross.kernel.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a health plug-in whose duty is not connected to its inputs and outputs. */
class HealthPluginTest {
  private static final TargetId TARGET = new TargetId("t1");

  private final BlockingQueue<HealthView> views = new ArrayBlockingQueue<>(100);
  private final BlockingQueue<Broadcasts.PeerInFlight> inFlight = new ArrayBlockingQueue<>(100);
  private final LocalExchange exchange = new LocalExchange();
  private Kernel kernel;

  /** An exchange that delivers each message to the handlers of the same process. */
  private static final class LocalExchange implements Plugin, PeerExchange {
    private final Map<String, Handler<Record>> handlers = new ConcurrentHashMap<>();

    @Override
    public String name() {
      return "local-exchange";
    }

    @Override
    public void configure(PluginContext context) {
      context.provide(PeerExchange.class, this);
    }

    @Override
    public void start(PluginContext context) {}

    @Override
    public <T extends Record> void handle(String kind, Class<T> type, Handler<T> handler) {
      handlers.put(kind, (from, message) -> handler.receive(from, type.cast(message)));
    }

    @Override
    public RingOfferResult send(InstanceId to, String kind, Record message) {
      handlers.get(kind).receive(new Sender(new InstanceId("peer"), 1), message);
      return new RingOfferResult.Accepted();
    }

    @Override
    public void sendAll(String kind, Record message) {}

    @Override
    public long incarnation() {
      return 1;
    }
  }

  @BeforeEach
  void start() throws PluginStartException {
    List<Plugin> plugins = List.of(exchange, new HealthPlugin());
    SettingsResult result =
        Settings.parse(
            "entry.ini",
            "[instance]\nid = a\nfailure-domain = d1\n",
            Kernel.settingsOf(plugins),
            Kernel.rulesOf(plugins));
    kernel = new Kernel(plugins, ((SettingsResult.Loaded) result).settings(), TimeSource.system());
    kernel.context().subscribe(Broadcasts.HEALTH, views::add);
    kernel.context().subscribe(Broadcasts.PEER_IN_FLIGHT, inFlight::add);
    kernel.start();
    Pool pool =
        new Pool(
            new PoolId("team/pool"),
            0.5,
            4,
            List.of(new Target(TARGET, "127.0.0.1", 9000, new FailureDomain("d1"))));
    TeamSettings team = new TeamSettings("team", List.of(), List.of(), List.of(pool), List.of());
    kernel
        .context()
        .publish(
            Broadcasts.CONFIGURATION,
            Configuration.of(1, Map.of("team", team), Set.of(), Members.NONE));
  }

  @AfterEach
  void stop() {
    kernel.close();
  }

  @Nested
  class Inputs {
    @Test
    void ofTheListOfLeavingTargetsReachTheView() throws InterruptedException {
      kernel
          .context()
          .publish(Broadcasts.LEAVING_TARGETS, new Broadcasts.LeavingTargets(Set.of(TARGET)));
      HealthView view = views.poll(20, TimeUnit.SECONDS);
      assertThat(view.status(TARGET))
          .isEqualTo(new TargetStatus.Unavailable(TargetStatus.Reason.DRAINING));
    }

    @Test
    void ofPeersReachTheRoutingDuty() throws InterruptedException {
      exchange.send(
          new InstanceId("a"),
          InFlightMessage.KIND,
          InFlightMessage.fromAverages(Map.of(TARGET, 2.5)));
      assertThat(inFlight.poll(20, TimeUnit.SECONDS))
          .isEqualTo(new Broadcasts.PeerInFlight(new InstanceId("peer"), Map.of(TARGET, 2.5)));
    }
  }
}
