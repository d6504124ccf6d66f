package org.bergamotcross.entry.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.BinaryOperator;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.RingOfferResult;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.Topic;

/**
 * Provides {@link PeerExchange}: accepts peer connections on {@code [listen] peers} and connects to
 * the other instances.
 */
public final class ExchangePlugin implements Plugin {
  private static final Topic<ExchangeInput> EXCHANGE = new Topic<>("exchange");
  private static final Setting<List<String>> SEEDS =
      new Setting<>(
          "peers",
          "seeds",
          "addresses such as 127.0.0.1:8081, separated by commas",
          Optional.of(""),
          ExchangePlugin::parseSeeds);

  // Most frames carry the control data of one request; 16,384 of them absorb a burst.
  private static final int RING_CAPACITY = 16_384;

  private final HandlerRegistry handlers = new HandlerRegistry();
  private Member self;
  private Ring<ExchangeInput> ring;

  @Override
  public String name() {
    return "exchange";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(
        EntrySettings.INSTANCE_ID,
        EntrySettings.FAILURE_DOMAIN,
        EntrySettings.PEER_ADDRESS,
        EntrySettings.HEARTBEAT_INTERVAL_MS,
        EntrySettings.FULL_MESH_LIMIT,
        EntrySettings.PROCESSOR_SHARE,
        EntrySettings.PROCESSOR_SPEED,
        EntrySettings.LINK_MBPS,
        SEEDS);
  }

  @Override
  public void configure(PluginContext context) {
    ring = context.openRing(EXCHANGE, RING_CAPACITY);
    self = EntrySettings.ownMember(context.settings(), newIncarnation());
    context.provide(PeerExchange.class, new RingExchange(handlers, ring, self));
    context.subscribe(
        Broadcasts.CONFIGURATION,
        configuration -> ring.offerReserved(new ExchangeInput.ConfigurationChanged(configuration)));
    context.subscribe(
        Broadcasts.DIRECTORY,
        read ->
            ring.offerReserved(
                new ExchangeInput.DirectoryUpdated(read.otherInstances(), read.containsSelf())));
    context.subscribe(
        Broadcasts.SHUTDOWN, shutdown -> ring.offerReserved(new ExchangeInput.ShutdownRequested()));
    context.subscribe(
        Broadcasts.INSTANCE_REMOVED,
        removed -> ring.offerReserved(new ExchangeInput.InstanceRemoved(removed)));
  }

  @Override
  public void start(PluginContext context) throws PluginStartException {
    PeerNetwork network = context.closer().register("peer-network", listen(context));
    LinkSet links =
        context
            .closer()
            .register(
                "peer-links",
                new LinkSet(
                    network::connect,
                    (address, generation) ->
                        ring.offerReserved(new ExchangeInput.LinkClosed(address, generation))));
    context.startDuty(
        EXCHANGE,
        new ExchangeDuty(self, context.settings().value(SEEDS), handlers, links, context));
  }

  private PeerNetwork listen(PluginContext context) throws PluginStartException {
    InetSocketAddress address = context.settings().value(EntrySettings.PEER_ADDRESS);
    try {
      return PeerNetwork.listen(
          address,
          frame -> ring.offer(new ExchangeInput.InboundFrame(frame)),
          context.time(),
          context.events());
    } catch (IOException e) {
      throw new PluginStartException(
          "[listen] peers = "
              + formatAddress(address)
              + " cannot be bound; configure an unused address of this machine",
          e);
    }
  }

  // Random, because an instance persists no state from which it could derive the next incarnation.
  private static long newIncarnation() {
    return new SecureRandom().nextLong(1, Long.MAX_VALUE);
  }

  private static String formatAddress(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  private static Optional<List<String>> parseSeeds(String text) {
    List<String> seeds =
        Arrays.stream(text.split(",", -1)).map(String::strip).filter(s -> !s.isEmpty()).toList();
    boolean valid = seeds.stream().allMatch(seed -> Setting.parseAddress(seed).isPresent());
    return valid ? Optional.of(seeds) : Optional.empty();
  }

  /** Forwards outbound messages over the ring to the exchange duty, which owns the links. */
  private record RingExchange(HandlerRegistry handlers, Ring<ExchangeInput> ring, Member self)
      implements PeerExchange {
    @Override
    public <T extends Record> void handle(String kind, Class<T> type, Handler<T> handler) {
      handlers.register(kind, type, handler);
    }

    @Override
    public <T extends Record> void mergeBy(String kind, Class<T> type, BinaryOperator<T> merger) {
      handlers.registerMerger(kind, type, merger);
    }

    @Override
    public RingOfferResult send(InstanceId to, String kind, Record message) {
      return ring.offer(new ExchangeInput.Outbound(to, kind, message));
    }

    @Override
    public void sendAll(String kind, Record message) {
      ring.offer(new ExchangeInput.OutboundToAll(kind, message));
    }

    @Override
    public long incarnation() {
      return self.incarnation();
    }
  }
}
