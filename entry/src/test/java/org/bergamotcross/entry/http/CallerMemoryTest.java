package org.bergamotcross.entry.http;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a count of held memory that drifts, and against closing the wrong connections. */
class CallerMemoryTest {
  private static final long MAX_BYTES = 200_000;
  private static final int MAX_CONNECTIONS = 3;

  private final MetricRegistry metrics = new MetricRegistry();
  private final EventLog events = new EventLog(metrics);
  private final List<String> closed = new ArrayList<>();
  private final CallerMemory memory =
      new CallerMemory(MAX_BYTES, MAX_CONNECTIONS, Duration.ofSeconds(60), events, metrics);

  @AfterEach
  void closeEvents() {
    events.close();
  }

  private static ClockReading at(long seconds) {
    return new ClockReading(0, 0).plus(Duration.ofSeconds(seconds));
  }

  private Optional<CallerMemory.Connection> open(String name, boolean requestOpen, long second) {
    return memory.open(() -> requestOpen, discard -> closed.add(name), at(second));
  }

  @Nested
  class Count {
    @Test
    void ignoresWhatAClosedConnectionStillReports() {
      CallerMemory.Connection connection = open("a", false, 0).orElseThrow();
      connection.closed();
      connection.unread(50_000, at(1));
      connection.received(true, 10_000, at(1));
      connection.closed();
      assertThat(memory.heldBytes()).isEqualTo(0);
    }

    @Test
    void returnsToZeroWhenAllAreClosed() {
      CallerMemory.Connection connection = open("a", false, 0).orElseThrow();
      connection.received(true, 10_000, at(1));
      connection.unread(50_000, at(1));
      connection.closed();
      assertThat(memory.heldBytes()).isEqualTo(0);
    }
  }

  @Nested
  class Closing {
    @Test
    void takesTheLongestStalledBeforeIdleOnes() {
      open("idle", false, 0);
      open("stalled", true, 0).orElseThrow().awaitsRest(true, at(5));
      open("waiting for its target", true, 0);
      assertThat(open("new", false, 10)).isPresent();
      assertThat(closed).containsExactly("stalled");
    }

    @Test
    void takesTheLongestIdle() {
      open("waiting for its target", true, 0);
      open("idle", false, 1);
      open("idle for less", false, 2);
      assertThat(open("new", false, 10)).isPresent();
      assertThat(closed).containsExactly("idle");
    }

    // Guards against a crowd that arrives within a second and makes every new caller lose its
    // connection before its first request arrives.
    @Test
    void sparesANewConnectionWhileOthersAreInsideMessages() {
      open("reads nothing", true, 9).orElseThrow().unread(10_000, at(10));
      open("sends nothing", true, 9).orElseThrow().awaitsRest(true, at(10));
      open("just opened", false, 10);
      assertThat(open("new", false, 10)).isPresent();
      assertThat(closed).doesNotContain("just opened");
      assertThat(closed).hasSize(1);
    }

    // A request that waits for its target may have run; its caller would be told nothing.
    @Test
    void neverTakesARequestThatWaitsForItsTarget() {
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        open("waiting for its target", true, 0);
      }
      assertThat(open("new", false, 100)).isEmpty();
      assertThat(closed).isEmpty();
    }

    @Test
    void endsAConnectionThatAloneHoldsTooMuch() {
      open("large", true, 0).orElseThrow().unread((int) MAX_BYTES, at(1));
      assertThat(closed).containsExactly("large");
      assertThat(memory.heldBytes()).isEqualTo(0);
    }
  }

  @Nested
  class Stalls {
    @Test
    void endOnlyInsideARequestOrAResponse() {
      open("idle", false, 0);
      open("inside a request", true, 0).orElseThrow().awaitsRest(true, at(0));
      open("unread response", false, 0).orElseThrow().unread(100, at(0));
      memory.closeStalled(at(60));
      assertThat(closed).isEmpty();
      memory.closeStalled(at(61));
      assertThat(closed).containsExactly("inside a request", "unread response");
    }
  }
}
