package org.bergamotcross.systemtest;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.kernel.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers that end a process by what they make it hold: requests in large or very
 * small chunks, and heads, that stop just short of their end and stay open.
 *
 * <p>The crowds and bounds don't depend on the speed of the machine.
 */
class UncontrolledCallersTest {
  private static final EntryProcess.Options SMALL_MACHINE =
      new EntryProcess.Options(
          List.of("-Xmx48m", "-Xss1m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"),
          """
          [limits]
          max-body-bytes = 4194304
          """);
  // The heap, and the code, classes and threads of a process.
  private static final long MAX_MEMORY_KIB = 200 << 10;
  private static final long MAX_DESCRIPTORS = 1_200;
  private static final int TARGETS = 16;
  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration HOLD_TIME = Duration.ofSeconds(8);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);

  private final Closer closer = new Closer();
  private ProcessFleet fleet;

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Lets each caller of a crowd send the same bytes and stay open, and checks the process. */
  private void checkSurvives(int callers, String start, String repeated, int times)
      throws Exception {
    fleet = closer.register("fleet", ProcessFleet.start(TARGETS, 1, 1e5, 1e5, SMALL_MACHINE));
    EntryProcess entry = fleet.entry(0);
    CountDownLatch written = new CountDownLatch(callers);
    byte[] first = start.getBytes(StandardCharsets.ISO_8859_1);
    byte[] block = repeated.getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < callers; i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.callerPort());
      closer.register("caller", socket);
      Thread.ofVirtual()
          .start(
              () -> {
                try {
                  send(socket.getOutputStream(), first, block, times);
                } catch (IOException e) {
                  // The instance may close the connection of such a caller.
                } finally {
                  written.countDown();
                }
              });
    }
    // Writers that the instance holds back by backpressure stay blocked.
    boolean allWritten = written.await(WRITE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    // What the sockets hold is read by the instance only after it was written.
    Await.holdsFor("the process lives, all written: " + allWritten, HOLD_TIME, entry::isAlive);
    Await.until(
        "an ordinary request is answered",
        ANSWER_TIMEOUT,
        () -> !entry.isAlive() || fleet.get(entry, ProcessFleet.SECOND_KEY).isOk());
    assertThat(entry.isAlive()).isTrue();
    assertThat(
            entry.readLogLines().stream()
                .filter(line -> line.contains("OutOfMemoryError"))
                .toList())
        .isEmpty();
    assertThat(entry.peakMemoryKib()).isLessThan(MAX_MEMORY_KIB);
    assertThat(entry.openDescriptors()).isLessThan(MAX_DESCRIPTORS);
  }

  private static void send(OutputStream out, byte[] first, byte[] block, int times)
      throws IOException {
    out.write(first);
    for (int i = 0; i < times; i++) {
      out.write(block);
    }
    out.flush();
  }

  private static String head(String method) {
    return method
        + " /team/orders HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
        + ProcessFleet.KEY
        + "\r\n";
  }

  private static String chunked(String method) {
    return head(method) + "Transfer-Encoding: chunked\r\n\r\n";
  }

  @Nested
  class ChunkedBodies {
    // Guards against a chunk that is kept until its last byte has arrived.
    @Test
    void inOneLargeChunkThatStopsShortOfItsEnd() throws Exception {
      checkSurvives(96, chunked("POST") + "F0000\r\n", "x".repeat(0xEFFF), 16);
    }

    // Guards against many objects for each read of small chunks.
    @Test
    void inVerySmallChunksThatStopShortOfTheirEnd() throws Exception {
      checkSurvives(500, chunked("POST"), "1\r\nx\r\n".repeat(1_000), 30);
    }

    // Guards against a chunk size that is kept without a limit.
    @Test
    void inAChunkSizeWithoutEnd() throws Exception {
      checkSurvives(96, chunked("POST"), "0".repeat(64_000), 16);
    }
  }

  @Nested
  class Heads {
    // Guards against heads that are bounded for each header but not together.
    @Test
    void thatStopShortOfTheirEnd() throws Exception {
      String header = "X-Long: " + "x".repeat(8_000) + "\r\n";
      checkSurvives(200, head("POST"), header, 50);
    }
  }

  @Nested
  class IdleConnections {
    // Guards against connections that fill the heap although nothing is sent on them.
    @Test
    void afterARequestInLargeNumbers() throws Exception {
      checkSurvives(2_000, head("GET") + "\r\n", "", 0);
    }
  }
}
