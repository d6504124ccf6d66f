package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a target whose response never ends and fills the memory of the instance, which
 * would end the requests of all callers.
 */
class EndlessResponseTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final String SECTIONS =
      """
      [targets]
      buffered-response-bytes = 131072
      responses-may-end-with-connection = yes
      """;
  private static final int CALLERS = 24;
  private static final long MAX_BYTES_PER_REQUEST = 1L << 20;
  private static final long MAX_SENT_BYTES = 400L << 20;
  private static final Duration MAX_OTHER_LATENCY = Duration.ofSeconds(3);

  /** Writes a start and then the same text again and again until the connection is closed. */
  private static RawTarget.RequestHandler endless(String start, String text, AtomicLong sent) {
    String block = text.repeat(Math.max(1, 8_192 / text.length()));
    return (connection, request) -> {
      if (request.name().equals("sound")) {
        connection.write(RawTarget.ok("sound"));
        return;
      }
      connection.write(start);
      while (sent.get() < MAX_SENT_BYTES) {
        connection.write(block);
        sent.addAndGet(block.length());
      }
    };
  }

  private static void checkBounded(String start, String text, boolean callersRead)
      throws Exception {
    AtomicLong sent = new AtomicLong();
    try (RawTarget faulty = new RawTarget(endless(start, text, sent));
        RawTarget other = RawTarget.echo();
        EntryInstance entry =
            EntryInstance.startWith(SECTIONS, List.of(faulty.port(), other.port()));
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        RawCaller sound = new RawCaller(entry.port())) {
      assertThat(sound.get("/team/open/sound", KEY).body()).isEqualTo("sound");
      long before = usedBytes();
      List<RawCaller> callers = new ArrayList<>();
      List<Future<?>> reading = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        RawCaller caller = new RawCaller(entry.port());
        callers.add(caller);
        caller.sendRequest("POST /team/open/endless HTTP/1.1\r\nContent-Length: 0", "", KEY);
        if (callersRead) {
          reading.add(threads.submit(() -> caller.read()));
        }
      }
      Polling.until("the faulty target is used", () -> !faulty.requests().isEmpty());
      Thread.sleep(1_500);
      long used = usedBytes() - before;
      assertThat(used).isLessThan(CALLERS * MAX_BYTES_PER_REQUEST);
      for (int i = 0; i < 5; i++) {
        long startedAt = System.nanoTime();
        assertThat(sound.get("/team/open/sound", KEY).body()).isEqualTo("sound");
        // A busy connection must not keep the I/O thread to itself until its request times out.
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(MAX_OTHER_LATENCY);
      }
      for (RawCaller caller : callers) {
        caller.close();
      }
      reading.forEach(future -> future.cancel(true));
    }
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  @Nested
  class Head {
    @Test
    void withoutAnEndOfTheStatusLineIsBounded() throws Exception {
      checkBounded("HTTP/1.1 200 ", "x", true);
    }

    @Test
    void withoutAnEndOfAHeaderIsBounded() throws Exception {
      checkBounded("HTTP/1.1 200 OK\r\nX-Long: ", "x", true);
    }

    @Test
    void withEndlessHeadersIsBounded() throws Exception {
      checkBounded("HTTP/1.1 200 OK\r\n", "X-Many: yes\r\n", true);
    }

    @Test
    void ofInterimResponsesIsBounded() throws Exception {
      checkBounded("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", true);
    }

    @Test
    void thatIsNoResponseIsBounded() throws Exception {
      checkBounded("", "garbage", true);
    }
  }

  @Nested
  class Body {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @Test
    void inAChunkExtensionIsBounded() throws Exception {
      checkBounded(CHUNKED + "1;", "x", true);
    }

    @Test
    void inAChunkSizeIsBounded() throws Exception {
      checkBounded(CHUNKED, "0", true);
    }

    // A body of chunks with one byte each occupies many times its size while it is buffered.
    @Test
    void inSmallChunksThatNobodyReadsIsBounded() throws Exception {
      checkBounded(CHUNKED, "1\r\nx\r\n", false);
    }

    @Test
    void withoutALengthThatNobodyReadsIsBounded() throws Exception {
      checkBounded("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x", false);
    }

    @Test
    void withALargeLengthThatNobodyReadsIsBounded() throws Exception {
      checkBounded("HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", "x", false);
    }

    @Test
    void ofTrailersIsBounded() throws Exception {
      checkBounded(CHUNKED + "0\r\n", "X-Many: yes\r\n", true);
    }
  }
}
