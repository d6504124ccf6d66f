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
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.PeerExchange.Sender;
import org.bergamotcross.kernel.DutyHandler;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.PluginContext;

/** Runs the links to the peers: introduction, beats, echoes, and the messages of the plug-ins. */
final class ExchangeDuty implements DutyHandler<ExchangeInput> {
  private static final Duration TICK = Duration.ofMillis(250);
  // Until it may use its share an instance can serve no limited organisation by itself.
  private static final Duration STARTING_TICK = Duration.ofMillis(50);
  // An echo is one beat old when it arrives, and the next one may be a beat and a pause away.
  private static final double HEARD_BEATS = 3.5;

  private final Member self;
  private final List<String> seeds;
  private final HandlerRegistry handlers;
  private final LinkSet links;
  private final PluginContext context;
  private final PeerCodec codec = new PeerCodec();
  private final PeerTable peers;
  private final Duration beatInterval;
  private final Duration heardWithin;
  private PeerView published = PeerView.NONE;
  private FleetView fleet = FleetView.NONE;
  private byte[] delegation = new byte[0];
  private final Meter sent;
  private final Meter sentBytes;
  private final Meter dropped;
  private final Meter unreadable;
  private Configuration configuration = Configuration.EMPTY;
  private Optional<Now> nextBeatAt = Optional.empty();
  private Optional<Now> nextFleetAt = Optional.empty();

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
    this.peers = new PeerTable(self, context.time().now());
    this.beatInterval =
        Duration.ofMillis(context.settings().value(EntrySettings.HEARTBEAT_INTERVAL_MS));
    this.heardWithin = Duration.ofMillis((long) (beatInterval.toMillis() * HEARD_BEATS));
    MetricRegistry metrics = context.metrics();
    this.sent = metrics.meter("peer.frames-sent");
    this.sentBytes = metrics.meter("peer.bytes-sent");
    this.dropped = metrics.meter("peer.frames-dropped");
    this.unreadable = metrics.meter("peer.frames-unreadable");
  }

  @Override
  public void onMessage(ExchangeInput input, Now now) {
    switch (input) {
      case ExchangeInput.Outbound out -> send(out.to(), out.kind(), out.message());
      case ExchangeInput.OutboundToAll out -> sendToAll(out.kind(), out.message());
      case ExchangeInput.Inbound in -> receive(in.frame(), now);
      case ExchangeInput.LinkClosed closed -> {
        links.closed(closed.address(), closed.generation(), now);
        peers.ended(closed.address());
      }
      case ExchangeInput.Listed listed -> list(listed.others(), listed.hasSelf(), now);
      case ExchangeInput.Stopping ignored -> peers.stop(now);
      case ExchangeInput.Departed departed -> peers.remove(departed.instance());
      case ExchangeInput.Configured configured -> configure(configured.configuration(), now);
    }
  }

  @Override
  public Duration onTick(Now now) {
    peers.forgetSilent(now);
    maintainLinks(now);
    boolean delegatesAnew = updateFleet(now);
    if (delegatesAnew || nextBeatAt.isEmpty() || !now.isBefore(nextBeatAt.get())) {
      peers.addresses().keySet().forEach(id -> sendBeat(id, now));
      nextBeatAt = Optional.of(now.plus(beatInterval));
    }
    publishView(now);
    return TICK;
  }

  /** Returns whether the peers shall know at once to whom this instance delegates. */
  private boolean updateFleet(Now now) {
    if (nextFleetAt.filter(now::isBefore).isPresent()) {
      return false;
    }
    FleetView before = fleet;
    fleet = peers.fleet(now);
    boolean delegated = before.delegation().shares() > 0;
    boolean delegates = fleet.delegation().shares() > 0;
    nextFleetAt = Optional.of(now.plus(delegates ? TICK : STARTING_TICK));
    byte[] encoded = peers.encodedDelegation();
    boolean isNew = !Arrays.equals(encoded, delegation);
    if (isNew
        || fleet.awaitsRegistration() != before.awaitsRegistration()
        || !fleet.departed().equals(before.departed())) {
      delegation = encoded;
      if (delegated || delegates) {
        reportFleet();
      }
      context.publish(Broadcasts.FLEET, fleet);
    }
    return isNew && (delegated || delegates);
  }

  private void reportFleet() {
    context
        .events()
        .event("rates.delegation")
        .with("shares", fleet.delegation().shares())
        .with("instances", fleet.instances())
        .with("candidates", fleet.delegation().candidates().list().size())
        .with("settling", fleet.delegation().settling().size())
        .emit();
  }

  private void publishView(Now now) {
    PeerView view = peers.view(heardWithin, now);
    if (!view.equals(published)) {
      published = view;
      context.events().event("peers.changed").with("heard", view.heard().size()).emit();
      context.publish(Broadcasts.PEERS, view);
    }
  }

  private void list(List<Member> others, boolean hasSelf, Now now) {
    if (peers.list(others, hasSelf, now)) {
      maintainLinks(now);
    }
  }

  private void told(PeerMessages.Peers told, Now now) {
    if (peers.told(told, now)) {
      maintainLinks(now);
    }
  }

  private void configure(Configuration next, Now now) {
    configuration = next;
    peers.update(next.members(), now);
    maintainLinks(now);
  }

  private void maintainLinks(Now now) {
    Set<String> wanted = new HashSet<>(peers.addresses().values());
    wanted.addAll(seeds);
    wanted.remove(self.peerAddress());
    for (String address : links.maintain(wanted, now)) {
      write(address, PeerMessages.HELLO, PeerMessages.Hello.of(self, seeds.contains(address)));
    }
  }

  private void sendBeat(InstanceId id, Now now) {
    peers
        .nextBeat(id, configuration.offset(), now)
        .ifPresent(beat -> send(id, PeerMessages.BEAT, beat));
  }

  private void send(InstanceId to, String kind, Record message) {
    if (to.equals(self.id())) {
      handlers.deliver(kind, new Sender(self.id(), self.incarnation()), message);
      return;
    }
    peers.find(to).ifPresentOrElse(peer -> write(peer.peerAddress(), kind, message), dropped::mark);
  }

  private void sendToAll(String kind, Record message) {
    byte[] frame = frame(kind, message);
    for (Map.Entry<InstanceId, String> peer : peers.addresses().entrySet()) {
      if (isRecipient(peer.getKey())) {
        writeFrame(peer.getValue(), frame);
      }
    }
  }

  /** Without a list of members, as when no log is read, every known peer gets the messages. */
  private boolean isRecipient(InstanceId id) {
    return configuration.members().list().isEmpty() || configuration.members().find(id).isPresent();
  }

  private void write(String address, String kind, Record message) {
    writeFrame(address, frame(kind, message));
  }

  private byte[] frame(String kind, Record message) {
    return codec.encode(
        new Envelope(kind, self.id().value(), self.incarnation(), codec.encode(message)));
  }

  private void writeFrame(String address, byte[] frame) {
    if (links.offer(address, frame)) {
      sent.mark();
      sentBytes.mark(frame.length + Integer.BYTES);
    } else {
      dropped.mark();
    }
  }

  private void receive(byte[] frame, Now now) {
    codec
        .decode(frame, Envelope.class)
        .ifPresentOrElse(envelope -> dispatch(envelope, now), unreadable::mark);
  }

  private void dispatch(Envelope envelope, Now now) {
    Sender from = new Sender(new InstanceId(envelope.from()), envelope.incarnation());
    switch (envelope.kind()) {
      case PeerMessages.HELLO ->
          codec
              .decode(envelope.body(), PeerMessages.Hello.class)
              .ifPresentOrElse(hello -> introduce(hello, now), unreadable::mark);
      case PeerMessages.PEERS ->
          codec
              .decode(envelope.body(), PeerMessages.Peers.class)
              .ifPresentOrElse(told -> told(told, now), unreadable::mark);
      case PeerMessages.BEAT ->
          codec
              .decode(envelope.body(), PeerMessages.Beat.class)
              .ifPresentOrElse(beat -> heard(from, beat, now), unreadable::mark);
      default -> {
        if (!handlers.deliver(envelope.kind(), from, envelope.body(), codec)) {
          unreadable.mark();
        }
      }
    }
  }

  private void introduce(PeerMessages.Hello hello, Now now) {
    Member member = hello.member();
    boolean isNew = peers.introduce(member, now);
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
      write(
          member.peerAddress(),
          PeerMessages.PEERS,
          new PeerMessages.Peers(known, peers.isShareUsable(), peers.isRegistered(member.id())));
    }
    if (isNew) {
      context.publish(Broadcasts.PEER_RESTARTED, member.id());
      sendBeat(member.id(), now);
    }
  }

  private void heard(Sender from, PeerMessages.Beat beat, Now now) {
    Optional<PeerTable.Echo> echo =
        peers.heard(from.id(), from.incarnation(), beat, self.incarnation(), now);
    Optional<Member> peer = peers.find(from.id());
    if (echo.isPresent() && peer.isPresent()) {
      links.echoed(peer.get().peerAddress(), now);
      context.publish(
          Broadcasts.HEARTBEAT_ECHO,
          new HeartbeatEcho(
              peer.get(), echo.get().beatSentAt(), beat.offset(), echo.get().delegation()));
    }
    if (beat.echoSequence() == 0) {
      // The peer has not heard this instance yet; an answer now saves it the wait for a beat.
      sendBeat(from.id(), now);
    }
  }
}
