package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against faults with request bodies that are too large to arrive in one read. */
class UploadTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final int BODY_BYTES = 90_000;
  private static final String BODY = "0123456789".repeat(BODY_BYTES / 10);
  private static final String UPLOAD =
      "POST /team/open/upload HTTP/1.1\r\nContent-Length: " + BODY_BYTES;

  /** Handles a connection after the head of its first request has been read. */
  @FunctionalInterface
  private interface HeadHandler {
    void handle(Socket socket) throws IOException;
  }

  /** A target that decides on the response before it has read the body. */
  private static final class HeadTarget implements AutoCloseable {
    private final ServerSocket server;
    private final AtomicInteger connections = new AtomicInteger();

    HeadTarget(HeadHandler handler) throws IOException {
      this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
      Thread.ofVirtual().start(() -> accept(handler));
    }

    int port() {
      return server.getLocalPort();
    }

    private void accept(HeadHandler handler) {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          connections.incrementAndGet();
          Thread.ofVirtual().start(() -> serve(socket, handler));
        } catch (IOException e) {
          return;
        }
      }
    }

    private static void serve(Socket socket, HeadHandler handler) {
      try (socket) {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
          head.append((char) socket.getInputStream().read());
        }
        handler.handle(socket);
      } catch (IOException e) {
        // The connection has ended; the test checks what the caller received.
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  /** Reads until the connection ends and returns the number of bytes. */
  private static int countUntilClosed(InputStream in) {
    int count = 0;
    try {
      while (in.read() >= 0) {
        count++;
      }
    } catch (IOException e) {
      // A reset ends the connection, too.
    }
    return count;
  }

  @Nested
  class CompleteBodies {
    @Test
    void arriveUnchanged() throws Exception {
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        assertThat(caller.send("POST", "/team/open/upload", BODY, KEY).body()).isEqualTo("upload");
        assertThat(target.requests().getFirst().body()).isEqualTo(BODY);
      }
    }
  }

  @Nested
  class TargetsThatRespondEarly {
    // Guards against a next request on a connection on which the rest of the body is still due.
    @Test
    void getNothingElseOnTheConnection() throws Exception {
      CompletableFuture<Integer> rest = new CompletableFuture<>();
      HeadHandler respondsFirst =
          socket -> {
            socket
                .getOutputStream()
                .write(RawTarget.ok("early").getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            rest.complete(countUntilClosed(socket.getInputStream()));
          };
      try (HeadTarget target = new HeadTarget(respondsFirst);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port());
          RawCaller next = new RawCaller(entry.port())) {
        caller.sendRequest(UPLOAD, BODY.substring(0, 10_000), KEY);
        assertThat(caller.read().body()).isEqualTo("early");
        assertThat(next.send("POST", "/team/open/next", "", KEY).body()).isEqualTo("early");
        assertThat(target.connections.get()).isEqualTo(2);
        assertThat(rest.get(5, TimeUnit.SECONDS)).isAtMost(BODY_BYTES);
      }
    }
  }

  @Nested
  class TargetsThatBreakOff {
    @Test
    void leaveTheOutcomeUnknown() throws Exception {
      try (HeadTarget target = new HeadTarget(socket -> socket.getInputStream().readNBytes(5_000));
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest(UPLOAD, BODY.substring(0, 50_000), KEY);
        assertThat(RawCaller.refusalAndOutcome(caller.read())).isEqualTo("target-failed/unknown");
        assertThat(target.connections.get()).isEqualTo(1);
      }
    }
  }

  @Nested
  class CallersThatStopMidway {
    // Guards against a target that waits for the rest of a body that never comes.
    @Test
    void endTheRequestAtTheTarget() throws Exception {
      CompletableFuture<Integer> received = new CompletableFuture<>();
      try (HeadTarget target =
              new HeadTarget(
                  socket -> received.complete(countUntilClosed(socket.getInputStream())));
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest(UPLOAD, BODY.substring(0, 20_000), KEY);
        Polling.until("the target is used", () -> target.connections.get() == 1);
        Thread.sleep(200);
        caller.disconnect();
        assertThat(received.get(3, TimeUnit.SECONDS)).isAtMost(20_000);
        Polling.until("the request has ended", () -> entry.openRequests().requestCount() == 0);
      }
    }
  }
}
