package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ProtocolException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.TimeSource;
import org.bergamotcross.standin.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends frames between the network of an instance and plain sockets. */
@Timeout(60)
class PeerNetworkTest {
  private static final long TIMEOUT_SECONDS = 10;

  private final BlockingQueue<byte[]> received = new ArrayBlockingQueue<>(2_000);
  private final CountDownLatch closed = new CountDownLatch(1);
  private final InetSocketAddress address =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
  private PeerNetwork network;

  @BeforeEach
  void listen() throws IOException {
    network =
        PeerNetwork.listen(
            address, received::add, TimeSource.system(), new EventLog(new MetricRegistry()));
  }

  @AfterEach
  void close() {
    network.close();
  }

  private static byte[] frame(String payload) {
    byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(Integer.BYTES + bytes.length)
        .putInt(bytes.length)
        .put(bytes)
        .array();
  }

  private String nextFrame() throws InterruptedException {
    return new String(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), StandardCharsets.UTF_8);
  }

  private PeerLink connect(InetSocketAddress peer) {
    return network.connect(peer, closed::countDown).orElseThrow();
  }

  private boolean isClosed() throws InterruptedException {
    return closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Nested
  class Links {
    @Test
    void deliverFramesInTheirOrder() throws InterruptedException {
      PeerLink link = connect(address);
      for (int i = 0; i < 100; i++) {
        assertThat(link.offer(("frame " + i).getBytes(StandardCharsets.UTF_8))).isTrue();
      }
      for (int i = 0; i < 100; i++) {
        assertThat(nextFrame()).isEqualTo("frame " + i);
      }
    }

    @Test
    void deliverFramesThatTheSocketTakesOnlyInParts() throws InterruptedException {
      PeerLink link = connect(address);
      byte[] large = new byte[FrameReader.MAX_FRAME_BYTES];
      assertThat(link.offer(large)).isTrue();
      assertThat(link.offer("after".getBytes(StandardCharsets.UTF_8))).isTrue();
      assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).hasLength(large.length);
      assertThat(nextFrame()).isEqualTo("after");
    }

    // Guards against memory that grows while a peer is paused.
    @Test
    void rejectFramesWhileAPeerDoesNotRead() throws IOException {
      try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        PeerLink link = connect(addressOf(peer));
        byte[] payload = new byte[64 * 1024];
        int accepted = 0;
        while (accepted < 10 * PeerLink.MAX_QUEUED_FRAMES && link.offer(payload)) {
          accepted++;
        }
        assertThat(accepted).isLessThan(10 * PeerLink.MAX_QUEUED_FRAMES);
      }
    }

    @Test
    void reportAPeerThatDoesNotListen() throws InterruptedException {
      PeerLink link =
          connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next()));
      assertThat(isClosed()).isTrue();
      assertThat(link.offer(new byte[1])).isFalse();
    }

    @Test
    void reportAPeerThatCloses() throws IOException, InterruptedException {
      try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        PeerLink link = connect(addressOf(peer));
        peer.accept().close();
        assertThat(isClosed()).isTrue();
        assertThat(link.offer(new byte[1])).isFalse();
      }
    }

    @Test
    void reportThatTheyWereClosedByThisInstance() throws IOException, InterruptedException {
      try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        PeerLink link = connect(addressOf(peer));
        try (Socket accepted = peer.accept()) {
          link.close();
          assertThat(isClosed()).isTrue();
          assertThat(readToEnd(accepted)).isEqualTo(0);
        }
      }
    }

    private static InetSocketAddress addressOf(ServerSocket peer) {
      return new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort());
    }

    private static int readToEnd(Socket socket) throws IOException {
      try (InputStream in = socket.getInputStream()) {
        return in.readAllBytes().length;
      } catch (IOException e) {
        return 0;
      }
    }
  }

  @Nested
  class IncomingConnections {
    @Test
    void mayDeliverAFrameByteByByte() throws IOException, InterruptedException {
      try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
        peer.setTcpNoDelay(true);
        for (byte b : frame("slow")) {
          peer.getOutputStream().write(b);
          Thread.sleep(2);
        }
        assertThat(nextFrame()).isEqualTo("slow");
      }
    }

    // Guards against a client that speaks another protocol: its first bytes read as a huge length.
    @Test
    void areClosedWhenTheLengthIsInvalid() throws IOException, InterruptedException {
      try (Socket other = new Socket(address.getAddress(), address.getPort());
          Socket peer = new Socket(address.getAddress(), address.getPort())) {
        other.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        assertThat(Links.readToEnd(other)).isEqualTo(0);
        peer.getOutputStream().write(frame("next"));
        assertThat(nextFrame()).isEqualTo("next");
      }
    }
  }

  @Nested
  class Frames {
    private final FrameReader reader = new FrameReader();
    private final List<String> frames = new ArrayList<>();

    private void read(byte[] bytes, int from, int to) throws ProtocolException {
      reader.read(
          ByteBuffer.wrap(bytes, from, to - from),
          frame -> frames.add(new String(frame, StandardCharsets.UTF_8)));
    }

    @Test
    void areCompleteForEachSplitOfTheBytes() throws ProtocolException {
      byte[] bytes =
          ByteBuffer.allocate(64).put(frame("one")).put(frame("")).put(frame("three")).array();
      int length = 3 * Integer.BYTES + 8;
      for (int split = 0; split <= length; split++) {
        frames.clear();
        read(bytes, 0, split);
        read(bytes, split, length);
        assertThat(frames).containsExactly("one", "", "three").inOrder();
      }
    }
  }
}
