package org.bergamotcross.entry.peer;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.FleetView;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.PeerView;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.HeartbeatEcho;
import org.bergamotcross.entry.Broadcasts.HeartbeatEchoes;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.PeerExchange.Sender;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.PluginContext;

/**
 * Exchanges messages with the peers: introductions, heartbeats with echoes, and plug-in messages.
 *
 * <p>It also publishes which peers are reachable and how the limits of the fleet are divided.
 */
final class ExchangeDuty implements DutyHandler<ExchangeInput> {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
  // An instance that may not use its share yet can't serve rate-limited organisations on its own,
  // so it checks more often. Each check looks at all peers; with 57 instances that start together,
  // a check every 50 ms cost a third of a second of processor time for each start.
  private static final Duration STARTUP_TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration NEWS_DELAY = Duration.ofMillis(50);
  // An echo is one heartbeat interval old when it arrives, and the next one may take another
  // interval and a pause to arrive.
  private static final double MAX_ECHO_AGE_HEARTBEATS = 3.5;

  private final Member self;
  private final int capacity;
  private final boolean canRelay;
  private final List<String> seeds;
  private final HandlerRegistry handlers;
  private final LinkSet links;
  private final PluginContext context;
  private final PeerCodec codec = new PeerCodec();
  private final FrameCodec frames = new FrameCodec();
  private final PeerTable peers;
  private final KnownPeers known;
  private final Duration heartbeatInterval;
  private final Duration maxEchoAge;
  private final EchoBatch echoes = new EchoBatch();
  private PeerView publishedPeers = PeerView.NONE;
  private FleetView fleet = FleetView.NONE;
  private byte[] encodedDelegation = new byte[0];
  private final Meter unreadableFrames;
  private final Meter relayedFrames;
  private final Meter sentBundles;
  private final BundleCodec bundles = new BundleCodec();
  private final MessageRelay relay;
  private final FrameSender sender;
  private Configuration configuration = Configuration.EMPTY;
  private Optional<ClockReading> nextHeartbeatAt = Optional.empty();
  private Optional<ClockReading> nextFleetUpdateAt = Optional.empty();
  private ClockReading nextTickAt;

  ExchangeDuty(
      Member self,
      List<String> seeds,
      HandlerRegistry handlers,
      LinkSet links,
      PluginContext context) {
    this.self = self;
    this.seeds = seeds;
    this.handlers = handlers;
    this.links = links;
    this.context = context;
    this.nextTickAt = context.time().now();
    this.heartbeatInterval =
        Duration.ofMillis(context.settings().value(EntrySettings.HEARTBEAT_INTERVAL_MS));
    this.maxEchoAge =
        Duration.ofMillis((long) (heartbeatInterval.toMillis() * MAX_ECHO_AGE_HEARTBEATS));
    this.capacity = EntrySettings.capacity(context.settings());
    int fullMeshLimit = context.settings().value(EntrySettings.FULL_MESH_LIMIT);
    this.canRelay = fullMeshLimit != EntrySettings.NO_FULL_MESH_LIMIT;
    this.peers = new PeerTable(self, capacity, fullMeshLimit, maxEchoAge, nextTickAt);
    this.known = peers.known();
    MetricRegistry metrics = context.metrics();
    this.sender = new FrameSender(self, links, codec, frames, metrics);
    this.unreadableFrames = metrics.meter("peer.frames-unreadable");
    this.relayedFrames = metrics.meter("peer.frames-relayed");
    this.sentBundles = metrics.meter("peer.bundles-sent");
    this.relay = new MessageRelay(self, handlers, codec, metrics.meter("peer.duplicates"));
  }

  @Override
  public void onMessage(ExchangeInput input, ClockReading now) {
    switch (input) {
      case ExchangeInput.Outbound out -> sendOrRelay(out.to(), out.kind(), out.message());
      case ExchangeInput.OutboundToAll out -> sendToAll(out.kind(), out.message(), now);
      case ExchangeInput.InboundFrame in -> handleFrame(in.frame(), now);
      case ExchangeInput.LinkClosed closed -> {
        if (links.handleClosed(closed.address(), closed.generation(), now)) {
          peers.recordLinkEnded(closed.address(), now);
          nextTickAt = now;
        }
      }
      case ExchangeInput.DirectoryUpdated directory ->
          handleDirectory(directory.otherInstances(), directory.containsSelf(), now);
      case ExchangeInput.ShutdownRequested ignored -> {
        peers.scheduleRelease(now);
        nextTickAt = now;
      }
      case ExchangeInput.InstanceRemoved removed -> known.removeFromRoster(removed.instance());
      case ExchangeInput.ConfigurationChanged changed ->
          handleConfiguration(changed.configuration(), now);
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    // Called after each message, too; with many peers, most messages are heartbeats, which leave
    // nothing to do.
    publishEchoes(now);
    sendBundles(now);
    if (now.isBefore(nextTickAt)) {
      return nextWakeUpAt(now).since(now);
    }
    known.removeSilentNonMembers(now);
    PeerTable.RelayUpdate update = peers.updateRelays(now);
    if (update.isChanged()) {
      reportRelays();
    }
    relay.retainOrigins(peers.counted());
    Set<InstanceId> ids = maintainLinks(now);
    echoes.retainPeers(ids);
    boolean isDelegationChanged = updateFleet(now);
    if (isDelegationChanged
        || update.isUrgent()
        || nextHeartbeatAt.isEmpty()
        || !now.isBefore(nextHeartbeatAt.get())) {
      byte[] delegation = peers.encodedDelegation();
      ids.forEach(id -> sendHeartbeat(id, delegation, now));
      nextHeartbeatAt = Optional.of(now.plus(heartbeatInterval));
    }
    known
        .takeIntroductions(now)
        .forEach((id, message) -> send(id, PeerMessages.INTRODUCTIONS, message));
    publishReachablePeers(now);
    nextTickAt = now.plus(TICK_INTERVAL);
    if (nextFleetUpdateAt.filter(nextTickAt::isAfter).isPresent()) {
      nextTickAt = nextFleetUpdateAt.get();
    }
    return nextWakeUpAt(now).since(now);
  }

  private ClockReading nextWakeUpAt(ClockReading now) {
    ClockReading next = echoes.dueAt().filter(nextTickAt::isAfter).orElse(nextTickAt);
    return relay.dueAt(peers.relays().isRelaying(), now).filter(next::isAfter).orElse(next);
  }

  private void sendBundles(ClockReading now) {
    relay
        .takeDue(peers.relays().isRelaying(), now)
        .forEach((direction, bundle) -> sendBundle(receivers(direction, now), bundle));
  }

  private Collection<InstanceId> receivers(MessageRelay.Direction direction, ClockReading now) {
    return switch (direction) {
      case RELAYS -> known.relayNeighbours(now);
      case SUBSCRIBERS -> known.subscriberNeighbours(now);
      case PRIMARY ->
          peers
              .relays()
              .primary()
              .<Collection<InstanceId>>map(primary -> List.of(primary.id()))
              .orElseGet(() -> peers.linkedAddresses(now).keySet());
    };
  }

  private void sendBundle(Collection<InstanceId> receivers, Bundle bundle) {
    byte[] frame = sender.frame(PeerMessages.BUNDLE, bundles.encode(bundle));
    for (InstanceId receiver : receivers) {
      known.find(receiver).ifPresent(peer -> sender.offer(peer.peerAddress(), frame));
    }
    sentBundles.mark(receivers.size());
  }

  private void publishEchoes(ClockReading now) {
    List<HeartbeatEcho> due = echoes.takeDue(now);
    if (!due.isEmpty()) {
      context.publish(Broadcasts.HEARTBEAT_ECHOES, new HeartbeatEchoes(due));
    }
  }

  /** Updates the fleet view and returns whether peers must learn of a new delegation at once. */
  private boolean updateFleet(ClockReading now) {
    if (nextFleetUpdateAt.filter(now::isBefore).isPresent()) {
      return false;
    }
    FleetView before = fleet;
    fleet = peers.updateFleet(now);
    boolean hadUsableShare = before.delegation().shares() > 0;
    boolean hasUsableShare = fleet.delegation().shares() > 0;
    nextFleetUpdateAt =
        Optional.of(now.plus(hasUsableShare ? TICK_INTERVAL : STARTUP_TICK_INTERVAL));
    byte[] encoded = peers.encodedDelegation();
    boolean delegationChanged = !Arrays.equals(encoded, encodedDelegation);
    if (delegationChanged
        || fleet.awaitsRegistration() != before.awaitsRegistration()
        || !fleet.departed().equals(before.departed())) {
      encodedDelegation = encoded;
      if (hadUsableShare || hasUsableShare) {
        reportFleet();
      }
      context.publish(Broadcasts.FLEET, fleet);
    }
    return delegationChanged && (hadUsableShare || hasUsableShare);
  }

  private void reportFleet() {
    context
        .events()
        .event("rates.delegation")
        .with("shares", fleet.delegation().shares())
        .with("instances", fleet.instanceCount())
        .with("candidates", fleet.delegation().candidates().list().size())
        .with("settling", fleet.delegation().settling().size())
        .emit();
  }

  private void reportRelays() {
    RelaySelection relays = peers.relays();
    context
        .events()
        .event("relays.changed")
        .with("relays", relays.view().relays().size())
        .with("relaying", relays.isRelaying())
        .with("primary", relays.primary().map(relay -> relay.id().value()).orElse("none"))
        .emit();
  }

  private void publishReachablePeers(ClockReading now) {
    PeerView view = peers.reachablePeers(now);
    if (!view.equals(publishedPeers)) {
      publishedPeers = view;
      context.events().event("peers.changed").with("heard", view.reachable().size()).emit();
      context.publish(Broadcasts.PEERS, view);
    }
  }

  private void handleDirectory(
      List<Member> otherInstances, boolean containsSelf, ClockReading now) {
    if (known.applyDirectory(otherInstances, containsSelf, now)) {
      maintainLinks(now);
    }
  }

  private void handlePeerList(Sender from, PeerMessages.PeerList peerList, ClockReading now) {
    if (known.mergePeerList(from.id(), peerList, now)) {
      applyNews(now);
    }
  }

  private void handleIntroductions(
      Sender from, PeerMessages.Introductions introductions, ClockReading now) {
    known
        .mergeIntroductions(from.id(), introductions.instances(), now)
        .forEach(id -> context.publish(Broadcasts.PEER_RESTARTED, id));
    applyNews(now);
  }

  /**
   * Opens the links to new instances. Where there are relays, instances learned within a short time
   * are handled together.
   */
  private void applyNews(ClockReading now) {
    if (peers.relays().view().isFullMesh()) {
      maintainLinks(now);
      return;
    }
    ClockReading soon = now.plus(NEWS_DELAY);
    if (nextTickAt.isAfter(soon)) {
      nextTickAt = soon;
    }
  }

  private void handleConfiguration(Configuration next, ClockReading now) {
    configuration = next;
    known.updateMembers(next.members(), now);
    maintainLinks(now);
  }

  /**
   * Returns the seeds to which there is to be a link. While a relay answers, only those that relay
   * keep trying seeds that they don't know, so that two parts of a fleet that started apart from
   * each other are joined.
   */
  private Collection<String> seedsToLink(ClockReading now) {
    if (peers.relays().view().isFullMesh() || !peers.isRelayReachable(now)) {
      return seeds;
    }
    if (!peers.relays().isRelaying()) {
      return List.of();
    }
    Collection<String> addresses = known.addresses().values();
    return seeds.stream().filter(seed -> !addresses.contains(seed)).toList();
  }

  /** Opens and closes links, and returns the peers to which there is to be one. */
  private Set<InstanceId> maintainLinks(ClockReading now) {
    Map<InstanceId, String> linked = peers.linkedAddresses(now);
    Set<String> wanted = new HashSet<>(linked.values());
    wanted.addAll(seedsToLink(now));
    wanted.remove(self.peerAddress());
    for (String address : links.maintain(wanted, now)) {
      boolean isSeed = seeds.contains(address);
      boolean isOnDemand = !peers.recordLinkOpened(address, now) && !isSeed;
      sender.send(
          address,
          PeerMessages.HELLO,
          PeerMessages.Hello.of(self, capacity, canRelay, isSeed, isOnDemand));
    }
    return linked.keySet();
  }

  private void sendHeartbeat(InstanceId id, ClockReading now) {
    sendHeartbeat(id, peers.encodedDelegation(), now);
  }

  private void sendHeartbeat(InstanceId id, byte[] delegation, ClockReading now) {
    peers
        .nextHeartbeat(id, configuration.offset(), delegation, now)
        .ifPresent(heartbeat -> send(id, PeerMessages.HEARTBEAT, heartbeat));
  }

  /**
   * Sends a message of a plug-in, through the primary relay if there is no link to its receiver.
   */
  private void sendOrRelay(InstanceId to, String kind, Record message) {
    if (to.equals(self.id())) {
      handlers.deliver(kind, new Sender(self.id(), self.incarnation()), message);
      return;
    }
    Optional<Member> primary = peers.relays().primary();
    boolean isLinked = known.find(to).filter(p -> links.isOpen(p.peerAddress())).isPresent();
    if (isLinked || primary.isEmpty()) {
      send(to, kind, message);
    } else {
      byte[] body = sender.encodeBody(message);
      sender.send(
          primary.get().peerAddress(),
          PeerMessages.RELAYED,
          new PeerMessages.Relayed(to.value(), self.id().value(), self.incarnation(), kind, body));
    }
  }

  private void send(InstanceId to, String kind, Record message) {
    known
        .find(to)
        .ifPresentOrElse(
            peer -> sender.send(peer.peerAddress(), kind, message), sender::countDropped);
  }

  /** Delivers a message, or passes it on if there is a link to its receiver. */
  private void handleRelayed(Sender via, PeerMessages.Relayed message) {
    InstanceId to = new InstanceId(message.to());
    if (to.equals(self.id())) {
      Sender from = new Sender(new InstanceId(message.from()), message.incarnation(), via.id());
      if (!handlers.deliver(message.kind(), from, message.body(), codec)) {
        unreadableFrames.mark();
      }
      return;
    }
    relayedFrames.mark();
    known
        .find(to)
        .ifPresentOrElse(
            peer -> sender.send(peer.peerAddress(), PeerMessages.RELAYED, message),
            sender::countDropped);
  }

  private void handleBundle(Sender via, Bundle bundle, ClockReading now) {
    int unreadable =
        relay.receive(bundle, via.id(), known.isRelay(via.id(), now), peers.relays().isRelaying());
    unreadableFrames.mark(unreadable);
  }

  private void sendToAll(String kind, Record message, ClockReading now) {
    byte[] frame = sender.encodeFrame(kind, message);
    if (!peers.relays().view().isFullMesh()) {
      relay.add(kind, message);
      for (InstanceId id : known.fullMeshNeighbours(now)) {
        known.find(id).ifPresent(peer -> sender.offer(peer.peerAddress(), frame));
      }
      return;
    }
    for (Map.Entry<InstanceId, String> peer : known.addresses().entrySet()) {
      if (isRecipient(peer.getKey())) {
        sender.offer(peer.getValue(), frame);
      }
    }
  }

  /**
   * Returns whether a peer receives messages sent to all: members only, or every known peer if the
   * member list is empty because no log is read.
   */
  private boolean isRecipient(InstanceId id) {
    return configuration.members().list().isEmpty() || configuration.members().find(id).isPresent();
  }

  private void handleFrame(byte[] frame, ClockReading now) {
    frames
        .decodeEnvelope(frame)
        .ifPresentOrElse(envelope -> dispatch(envelope, now), unreadableFrames::mark);
  }

  private void dispatch(Envelope envelope, ClockReading now) {
    Sender from = new Sender(new InstanceId(envelope.from()), envelope.incarnation());
    switch (envelope.kind()) {
      case PeerMessages.HELLO ->
          codec
              .decode(envelope.body(), PeerMessages.Hello.class)
              .ifPresentOrElse(hello -> handleHello(hello, now), unreadableFrames::mark);
      case PeerMessages.PEER_LIST ->
          codec
              .decode(envelope.body(), PeerMessages.PeerList.class)
              .ifPresentOrElse(
                  peerList -> handlePeerList(from, peerList, now), unreadableFrames::mark);
      case PeerMessages.INTRODUCTIONS ->
          codec
              .decode(envelope.body(), PeerMessages.Introductions.class)
              .ifPresentOrElse(
                  introductions -> handleIntroductions(from, introductions, now),
                  unreadableFrames::mark);
      case PeerMessages.HEARTBEAT ->
          frames
              .decodeHeartbeat(envelope.body())
              .ifPresentOrElse(
                  heartbeat -> handleHeartbeat(from, heartbeat, now), unreadableFrames::mark);
      case PeerMessages.BUNDLE ->
          bundles
              .decode(envelope.body())
              .ifPresentOrElse(bundle -> handleBundle(from, bundle, now), unreadableFrames::mark);
      case PeerMessages.RELAYED ->
          codec
              .decode(envelope.body(), PeerMessages.Relayed.class)
              .ifPresentOrElse(message -> handleRelayed(from, message), unreadableFrames::mark);
      default -> {
        if (!handlers.deliver(envelope.kind(), from, envelope.body(), codec)) {
          unreadableFrames.mark();
        }
      }
    }
  }

  private void handleHello(PeerMessages.Hello hello, ClockReading now) {
    Member member = hello.member();
    boolean isNew = known.recordIntroduction(hello, now);
    context
        .events()
        .event("peer.introduced")
        .with("peer", member.id())
        .with("incarnation", member.incarnation())
        .with("failure-domain", member.failureDomain())
        .emit();
    if (!links.isOpen(member.peerAddress())) {
      maintainLinks(now);
    }
    if (hello.asksForPeers()) {
      sendPeerList(member.id(), now);
    }
    if (isNew) {
      if (peers.relays().view().isFullMesh()) {
        nextTickAt = now;
      } else {
        applyNews(now);
      }
      context.publish(Broadcasts.PEER_RESTARTED, member.id());
      sendHeartbeat(member.id(), now);
    }
  }

  private void sendPeerList(InstanceId to, ClockReading now) {
    send(to, PeerMessages.PEER_LIST, known.peerList(to, now));
  }

  private void handleHeartbeat(Sender from, PeerMessages.Heartbeat heartbeat, ClockReading now) {
    Optional<PeerTable.EchoedHeartbeat> echo =
        peers.recordHeartbeat(from.id(), from.incarnation(), heartbeat, self.incarnation(), now);
    Optional<Member> peer = known.find(from.id());
    if (echo.isPresent() && peer.isPresent()) {
      links.recordEcho(peer.get().peerAddress(), now);
      echoes.add(
          new HeartbeatEcho(
              peer.get(),
              echo.get().heartbeatSentAt(),
              heartbeat.offset(),
              echo.get().delegation()),
          now);
      publishEchoes(now);
    }
    if (peers.isPeerListDue(from.id(), now)) {
      sendPeerList(from.id(), now);
    }
    if (heartbeat.echoSequence() == 0) {
      // The peer has not received a heartbeat from this instance yet; replying now spares it the
      // wait for the next one.
      sendHeartbeat(from.id(), now);
    }
  }
}
