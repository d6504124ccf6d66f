package org.bergamotcross.entry.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteOrder;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.apache.pekko.util.ByteStringBuilder;

/**
 * Sends this instance's frames to one peer over an outgoing TCP connection.
 *
 * <p>The peer answers on its own connection, so a partition in one direction affects exactly one of
 * the two connections.
 */
final class PeerLink implements AutoCloseable {
  /** The maximum frame size; configuration snapshots are the largest messages. */
  static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  // Bounds the backlog for a paused peer; further frames are rejected.
  private static final int MAX_QUEUED_FRAMES = 1024;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final BoundedSourceQueue<ByteString> queue;
  private final UniqueKillSwitch killSwitch;

  private PeerLink(BoundedSourceQueue<ByteString> queue, UniqueKillSwitch killSwitch) {
    this.queue = queue;
    this.killSwitch = killSwitch;
  }

  /**
   * Opens a connection; frames offered before it is established are queued.
   *
   * @param system the actor system that runs the connection
   * @param address the address of the peer
   * @param onClosed run once, on a network thread, when the connection has ended
   * @return the link
   */
  static PeerLink open(ActorSystem system, InetSocketAddress address, Runnable onClosed) {
    Materializer materializer = SystemMaterializer.get(system).materializer();
    var connection =
        Tcp.get(system)
            .outgoingConnection(
                address,
                Optional.empty(),
                List.of(),
                false,
                Optional.of(CONNECT_TIMEOUT),
                Optional.empty());
    var running =
        Source.<ByteString>queue(MAX_QUEUED_FRAMES)
            .viaMat(KillSwitches.single(), Keep.both())
            .via(connection)
            .toMat(Sink.ignore(), Keep.both())
            .run(materializer);
    running.second().whenComplete((done, failure) -> onClosed.run());
    return new PeerLink(running.first().first(), running.first().second());
  }

  /**
   * Enqueues a frame without blocking.
   *
   * @param payload the payload of the frame
   * @return whether the queue had room and the connection was not closed
   */
  boolean offer(byte[] payload) {
    ByteString frame =
        new ByteStringBuilder()
            .putInt(payload.length, ByteOrder.BIG_ENDIAN)
            .append(ByteString.fromArrayUnsafe(payload))
            .result();
    return queue.offer(frame).isEnqueued();
  }

  /**
   * Creates the flow of an incoming connection, which reads frames and writes nothing.
   *
   * @param receiver receives the payload of each frame, on a network thread
   * @return the flow for one incoming connection
   */
  static Flow<ByteString, ByteString, ?> receivingFlow(Consumer<byte[]> receiver) {
    return Flow.fromSinkAndSourceCoupled(
        Flow.of(ByteString.class)
            .via(Framing.lengthField(Integer.BYTES, 0, MAX_FRAME_BYTES, ByteOrder.BIG_ENDIAN))
            .to(Sink.foreach(frame -> receiver.accept(frame.drop(Integer.BYTES).toArray()))),
        Source.maybe());
  }

  @Override
  public void close() {
    // Completing a connection that is still being opened fails inside Pekko; aborting it does not.
    killSwitch.abort(new IOException("peer link closed by this instance"));
  }
}
