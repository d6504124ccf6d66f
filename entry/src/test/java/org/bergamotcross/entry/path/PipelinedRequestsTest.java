package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against faults with requests that a caller sends ahead of the first response. */
class PipelinedRequestsTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);

  private static String get(String name) {
    return "GET /team/open/" + name + " HTTP/1.1\r\nHost: entry\r\n" + KEY + "\r\n\r\n";
  }

  private static List<String> names(RawTarget target) {
    return target.requests().stream().map(RawTarget.Message::name).toList();
  }

  @Nested
  class Responses {
    @Test
    void areReturnedInTheOrderOfTheRequests() throws Exception {
      RawTarget.RequestHandler firstIsSlow =
          (connection, request) -> {
            if (request.name().equals("a")) {
              Thread.sleep(200);
            }
            connection.write(RawTarget.ok(request.name()));
          };
      try (RawTarget target = new RawTarget(firstIsSlow);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.write(get("a") + get("b") + get("c"));
        assertThat(caller.read().body()).isEqualTo("a");
        assertThat(caller.read().body()).isEqualTo("b");
        assertThat(caller.read().body()).isEqualTo("c");
      }
    }
  }

  @Nested
  class Deadlines {
    // Guards against a deadline that counts only from the end of the request before: the caller
    // would have given up, and the target would be told a time that is not left.
    @Test
    void countFromTheArrivalOfEachRequest() throws Exception {
      RawTarget.RequestHandler firstIsSlow =
          (connection, request) -> {
            if (request.name().equals("a")) {
              Thread.sleep(1_000);
            }
            connection.write(RawTarget.ok(request.name()));
          };
      String late = get("late").replace("\r\n\r\n", "\r\nX-Request-Timeout-Ms: 300\r\n\r\n");
      try (RawTarget target = new RawTarget(firstIsSlow);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.write(get("a") + late + late + get("b"));
        assertThat(caller.read().body()).isEqualTo("a");
        for (int i = 0; i < 2; i++) {
          RawTarget.Message refused = caller.read();
          assertThat(RawCaller.status(refused)).isEqualTo(503);
          assertThat(RawCaller.refusalAndOutcome(refused))
              .isEqualTo("deadline-before-send/not-run");
        }
        assertThat(caller.read().body()).isEqualTo("b");
        assertThat(names(target)).containsExactly("a", "b").inOrder();
      }
    }
  }

  @Nested
  class InLargeNumbers {
    // Guards against a parser that recurses once for each request of a read.
    @Test
    void areAnsweredWithoutAnOverflowOfTheStack() throws Exception {
      int count = 4_000;
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port());
          RawCaller other = new RawCaller(entry.port())) {
        Thread writer =
            Thread.ofVirtual()
                .start(
                    () -> {
                      try {
                        caller.write("GET / HTTP/1.1\r\nHost: e\r\n\r\n".repeat(count));
                      } catch (java.io.IOException e) {
                        // The reader finds that responses are missing.
                      }
                    });
        for (int i = 0; i < count; i++) {
          assertThat(RawCaller.status(caller.read())).isEqualTo(401);
        }
        writer.join();
        assertThat(other.get("/team/open/sound", KEY).body()).isEqualTo("sound");
      }
    }
  }

  @Nested
  class BehindAResponseThatClosesTheConnection {
    // A request that runs without a response would be sent again by its caller.
    @Test
    void areNotPassedOn() throws Exception {
      CountDownLatch arrived = new CountDownLatch(1);
      CountDownLatch released = new CountDownLatch(1);
      RawTarget.RequestHandler held =
          (connection, request) -> {
            arrived.countDown();
            released.await();
            connection.write(RawTarget.ok(request.name()));
          };
      try (RawTarget target = new RawTarget(held);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.write(get("a") + get("b") + get("c"));
        arrived.await();
        entry.stopWithAcceptPeriod(Duration.ofSeconds(5), Duration.ofSeconds(10));
        released.countDown();
        RawTarget.Message first = caller.read();
        assertThat(first.body()).isEqualTo("a");
        assertThat(first.header("connection")).isEqualTo("close");
        assertThat(caller.read().head()).isEmpty();
        Thread.sleep(300);
        assertThat(names(target)).containsExactly("a");
        assertThat(entry.openRequests().requestCount()).isEqualTo(0);
      }
    }
  }

  @Nested
  class OfACallerThatLeaves {
    // Guards against work for a caller that has left while its requests were waiting.
    @Test
    void areNotPassedOn() throws Exception {
      CountDownLatch arrived = new CountDownLatch(1);
      CountDownLatch closed = new CountDownLatch(1);
      RawTarget.RequestHandler held =
          (connection, request) -> {
            arrived.countDown();
            if (connection.awaitClose()) {
              closed.countDown();
            }
          };
      try (RawTarget target = new RawTarget(held);
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.write(get("a") + get("b") + get("c") + get("d"));
        arrived.await();
        caller.reset();
        assertThat(closed.await(2, java.util.concurrent.TimeUnit.SECONDS)).isTrue();
        Thread.sleep(300);
        assertThat(names(target)).containsExactly("a");
      }
    }
  }
}
