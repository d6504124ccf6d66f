package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bergamotcross.entry.path.RawTarget.RequestHandler;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against memory, and slots of targets, that callers hold by not reading responses. */
class SlowReadersTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final int CALLERS = 60;
  // Far more than the sockets hold for a caller.
  private static final int REQUESTS_SENT_AHEAD = 60;
  private static final int RESPONSE_BYTES = 120_000;
  private static final long MAX_HELD_BYTES = 1_600_000;
  private static final String SECTIONS =
      """
      [targets]
      buffered-response-bytes = 131072
      [callers]
      buffered-request-bytes = %d
      """
          .formatted(MAX_HELD_BYTES);

  private static long metric(EntryInstance entry, String name) {
    try (RawCaller operator = new RawCaller(entry.operationsPort())) {
      return operator
          .get("/metrics")
          .body()
          .lines()
          .filter(line -> line.startsWith(name + "="))
          .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
          .findFirst()
          .orElseThrow();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Opens a connection with a small receive buffer that sends requests and reads nothing. */
  private static Socket requestWithoutReading(int port) throws Exception {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    String request = "GET /team/open/large HTTP/1.1\r\nHost: entry\r\n" + KEY + "\r\n\r\n";
    try {
      socket
          .getOutputStream()
          .write(request.repeat(REQUESTS_SENT_AHEAD).getBytes(StandardCharsets.ISO_8859_1));
    } catch (SocketException e) {
      // The instance may close the connection already, to make room for others.
    }
    return socket;
  }

  @Nested
  class Responses {
    @Test
    void areBoundedForTheInstanceAndHoldNoSlots() throws Exception {
      RequestHandler large =
          (connection, request) ->
              connection.write(
                  RawTarget.ok(
                      request.name().equals("sound") ? "sound" : "x".repeat(RESPONSE_BYTES)));
      List<Socket> callers = new ArrayList<>();
      try (RawTarget target = new RawTarget(large);
          EntryInstance entry = EntryInstance.startWith(SECTIONS, List.of(target.port()))) {
        for (int i = 0; i < CALLERS; i++) {
          callers.add(requestWithoutReading(entry.port()));
        }
        Polling.until(
            "connections that hold too much are closed",
            Duration.ofSeconds(60),
            () -> metric(entry, "callers.closed-memory.count") > 0);
        assertThat(metric(entry, "callers.held-bytes")).isAtMost(MAX_HELD_BYTES);
        try (RawCaller sound = new RawCaller(entry.port())) {
          assertThat(sound.get("/team/open/sound", KEY).body()).isEqualTo("sound");
        }
      } finally {
        for (Socket caller : callers) {
          caller.close();
        }
      }
    }
  }

  @Nested
  class StalledCallers {
    // Guards against a connection that stays open as long as its caller wants.
    @Test
    void areClosedInsideARequestButNotBetweenRequests() throws Exception {
      String sections = "[callers]\nstall-timeout-ms = 500\n";
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.startWith(sections, List.of(target.port()));
          RawCaller idle = new RawCaller(entry.port());
          RawCaller stalled = new RawCaller(entry.port())) {
        assertThat(idle.get("/team/open/a", KEY).body()).isEqualTo("a");
        stalled.write("GET /team/open/b HTTP/1.1\r\nHost: ent");
        assertThrows(SocketException.class, stalled::read);
        assertThat(metric(entry, "callers.closed-stalled.count")).isEqualTo(1);
        assertThat(idle.get("/team/open/c", KEY).body()).isEqualTo("c");
      }
    }
  }
}
