package org.bergamotcross.entry.peer;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Arrays;
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
  // An echo is one heartbeat interval old when it arrives, and the next one may take another
  // interval and a pause to arrive.
  private static final double MAX_ECHO_AGE_HEARTBEATS = 3.5;

  private final Member self;
  private final List<String> seeds;
  private final HandlerRegistry handlers;
  private final LinkSet links;
  private final PluginContext context;
  private final PeerCodec codec = new PeerCodec();
  private final FrameCodec frames = new FrameCodec();
  private final PeerTable peers;
  private final Duration heartbeatInterval;
  private final Duration maxEchoAge;
  private final EchoBatch echoes = new EchoBatch();
  private PeerView publishedPeers = PeerView.NONE;
  private FleetView fleet = FleetView.NONE;
  private byte[] encodedDelegation = new byte[0];
  private final Meter sentFrames;
  private final Meter sentBytes;
  private final Meter droppedFrames;
  private final Meter unreadableFrames;
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
    this.peers = new PeerTable(self, nextTickAt);
    this.heartbeatInterval =
        Duration.ofMillis(context.settings().value(EntrySettings.HEARTBEAT_INTERVAL_MS));
    this.maxEchoAge =
        Duration.ofMillis((long) (heartbeatInterval.toMillis() * MAX_ECHO_AGE_HEARTBEATS));
    MetricRegistry metrics = context.metrics();
    this.sentFrames = metrics.meter("peer.frames-sent");
    this.sentBytes = metrics.meter("peer.bytes-sent");
    this.droppedFrames = metrics.meter("peer.frames-dropped");
    this.unreadableFrames = metrics.meter("peer.frames-unreadable");
  }

  @Override
  public void onMessage(ExchangeInput input, ClockReading now) {
    switch (input) {
      case ExchangeInput.Outbound out -> send(out.to(), out.kind(), out.message());
      case ExchangeInput.OutboundToAll out -> sendToAll(out.kind(), out.message());
      case ExchangeInput.InboundFrame in -> handleFrame(in.frame(), now);
      case ExchangeInput.LinkClosed closed -> {
        links.handleClosed(closed.address(), closed.generation(), now);
        peers.markConnectionLost(closed.address());
        nextTickAt = now;
      }
      case ExchangeInput.DirectoryUpdated directory ->
          handleDirectory(directory.otherInstances(), directory.containsSelf(), now);
      case ExchangeInput.ShutdownRequested ignored -> {
        peers.scheduleRelease(now);
        nextTickAt = now;
      }
      case ExchangeInput.InstanceRemoved removed -> peers.removeFromRoster(removed.instance());
      case ExchangeInput.ConfigurationChanged changed ->
          handleConfiguration(changed.configuration(), now);
    }
  }

  @Override
  public Duration onTick(ClockReading now) {
    // Called after each message, too; with many peers, most messages are heartbeats, which leave
    // nothing to do.
    publishEchoes(now);
    if (now.isBefore(nextTickAt)) {
      return nextWakeUpAt().since(now);
    }
    peers.removeSilentNonMembers(now);
    Set<InstanceId> ids = peers.addresses().keySet();
    echoes.retainPeers(ids);
    maintainLinks(now);
    boolean isDelegationChanged = updateFleet(now);
    if (isDelegationChanged || nextHeartbeatAt.isEmpty() || !now.isBefore(nextHeartbeatAt.get())) {
      byte[] delegation = peers.encodedDelegation();
      ids.forEach(id -> sendHeartbeat(id, delegation, now));
      nextHeartbeatAt = Optional.of(now.plus(heartbeatInterval));
    }
    publishReachablePeers(now);
    nextTickAt = now.plus(TICK_INTERVAL);
    if (nextFleetUpdateAt.filter(nextTickAt::isAfter).isPresent()) {
      nextTickAt = nextFleetUpdateAt.get();
    }
    return nextWakeUpAt().since(now);
  }

  private ClockReading nextWakeUpAt() {
    return echoes.dueAt().filter(nextTickAt::isAfter).orElse(nextTickAt);
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

  private void publishReachablePeers(ClockReading now) {
    PeerView view = peers.reachablePeers(maxEchoAge, now);
    if (!view.equals(publishedPeers)) {
      publishedPeers = view;
      context.events().event("peers.changed").with("heard", view.reachable().size()).emit();
      context.publish(Broadcasts.PEERS, view);
    }
  }

  private void handleDirectory(
      List<Member> otherInstances, boolean containsSelf, ClockReading now) {
    if (peers.applyDirectory(otherInstances, containsSelf, now)) {
      maintainLinks(now);
    }
  }

  private void handlePeerList(PeerMessages.PeerList peerList, ClockReading now) {
    if (peers.mergePeerList(peerList, now)) {
      maintainLinks(now);
    }
  }

  private void handleConfiguration(Configuration next, ClockReading now) {
    configuration = next;
    peers.updateMembers(next.members(), now);
    maintainLinks(now);
  }

  private void maintainLinks(ClockReading now) {
    Set<String> wanted = new HashSet<>(peers.addresses().values());
    wanted.addAll(seeds);
    wanted.remove(self.peerAddress());
    for (String address : links.maintain(wanted, now)) {
      sendToAddress(
          address, PeerMessages.HELLO, PeerMessages.Hello.of(self, seeds.contains(address)));
    }
  }

  private void sendHeartbeat(InstanceId id, ClockReading now) {
    sendHeartbeat(id, peers.encodedDelegation(), now);
  }

  private void sendHeartbeat(InstanceId id, byte[] delegation, ClockReading now) {
    peers
        .nextHeartbeat(id, configuration.offset(), delegation, now)
        .ifPresent(heartbeat -> send(id, PeerMessages.HEARTBEAT, heartbeat));
  }

  private void send(InstanceId to, String kind, Record message) {
    if (to.equals(self.id())) {
      handlers.deliver(kind, new Sender(self.id(), self.incarnation()), message);
      return;
    }
    peers
        .find(to)
        .ifPresentOrElse(
            peer -> sendToAddress(peer.peerAddress(), kind, message), droppedFrames::mark);
  }

  private void sendToAll(String kind, Record message) {
    byte[] frame = encodeFrame(kind, message);
    for (Map.Entry<InstanceId, String> peer : peers.addresses().entrySet()) {
      if (isRecipient(peer.getKey())) {
        offerFrame(peer.getValue(), frame);
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

  private void sendToAddress(String address, String kind, Record message) {
    offerFrame(address, encodeFrame(kind, message));
  }

  private byte[] encodeFrame(String kind, Record message) {
    byte[] body =
        message instanceof PeerMessages.Heartbeat heartbeat
            ? frames.encode(heartbeat)
            : codec.encode(message);
    return frames.encode(new Envelope(kind, self.id().value(), self.incarnation(), body));
  }

  private void offerFrame(String address, byte[] frame) {
    if (links.offer(address, frame)) {
      sentFrames.mark();
      sentBytes.mark(frame.length + Integer.BYTES);
    } else {
      droppedFrames.mark();
    }
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
              .ifPresentOrElse(peerList -> handlePeerList(peerList, now), unreadableFrames::mark);
      case PeerMessages.HEARTBEAT ->
          frames
              .decodeHeartbeat(envelope.body())
              .ifPresentOrElse(
                  heartbeat -> handleHeartbeat(from, heartbeat, now), unreadableFrames::mark);
      default -> {
        if (!handlers.deliver(envelope.kind(), from, envelope.body(), codec)) {
          unreadableFrames.mark();
        }
      }
    }
  }

  private void handleHello(PeerMessages.Hello hello, ClockReading now) {
    Member member = hello.member();
    boolean isNew = peers.recordIntroduction(member, now);
    context
        .events()
        .event("peer.introduced")
        .with("peer", member.id())
        .with("incarnation", member.incarnation())
        .with("failure-domain", member.failureDomain())
        .emit();
    maintainLinks(now);
    if (hello.asksForPeers()) {
      List<PeerMessages.Hello> known =
          peers.members().stream().map(peer -> PeerMessages.Hello.of(peer, false)).toList();
      sendToAddress(
          member.peerAddress(),
          PeerMessages.PEER_LIST,
          new PeerMessages.PeerList(known, peers.isShareUsable(), peers.isRegistered(member.id())));
    }
    if (isNew) {
      nextTickAt = now;
      context.publish(Broadcasts.PEER_RESTARTED, member.id());
      sendHeartbeat(member.id(), now);
    }
  }

  private void handleHeartbeat(Sender from, PeerMessages.Heartbeat heartbeat, ClockReading now) {
    Optional<PeerTable.EchoedHeartbeat> echo =
        peers.recordHeartbeat(from.id(), from.incarnation(), heartbeat, self.incarnation(), now);
    Optional<Member> peer = peers.find(from.id());
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
    if (heartbeat.echoSequence() == 0) {
      // The peer has not received a heartbeat from this instance yet; replying now spares it the
      // wait for the next one.
      sendHeartbeat(from.id(), now);
    }
  }
}
