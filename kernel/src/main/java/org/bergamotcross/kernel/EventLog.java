package org.bergamotcross.kernel;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Writes each event as one log line of key=value pairs.
 *
 * <p>Lines pass through a bounded ring to one writer thread, so that slow log output never delays a
 * duty. When the ring is full, the line is dropped and counted in {@code events.dropped}.
 *
 * <pre>{@code
 * events.event("route.chosen").with("request", id).with("target", target).emit();
 * }</pre>
 */
public final class EventLog implements AutoCloseable {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int RING_CAPACITY_LINES = 16_384;

  // The writer may wait long for a line, because close() interrupts it.
  private static final Duration POLL_TIMEOUT = Duration.ofHours(1);

  private final Ring<String> ring = new Ring<>("event-log", RING_CAPACITY_LINES);
  private final Meter dropped;
  private final Thread writer = new Thread(this::writeUntilStopped, "event-log");
  private volatile boolean stopping;

  /**
   * Creates an event log and starts its writer thread.
   *
   * @param metrics the registry that counts dropped lines
   */
  public EventLog(MetricRegistry metrics) {
    this.dropped = metrics.meter("events.dropped");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Returns a builder for an event.
   *
   * @param name the name of the event, for example {@code route.chosen}
   * @return a builder; {@link Event#emit()} submits the line
   */
  public Event event(String name) {
    return new Event(name);
  }

  private void writeUntilStopped() {
    try {
      while (!stopping || ring.size() > 0) {
        ring.poll(POLL_TIMEOUT).ifPresent(EventLog::writeLine);
        if (ring.size() == 0) {
          Logging.flush();
        }
      }
    } catch (InterruptedException e) {
      writeRemaining();
    }
    Logging.flush();
  }

  private void writeRemaining() {
    try {
      for (Optional<String> line = ring.poll(Duration.ZERO);
          line.isPresent();
          line = ring.poll(Duration.ZERO)) {
        writeLine(line.get());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Without an injected log site, flogger would walk the stack for each line to find this method.
  private static void writeLine(String line) {
    LOGGER.atInfo().withInjectedLogSite(LogSite.INVALID).log("%s", line);
  }

  @Override
  public void close() {
    stopping = true;
    writer.interrupt();
    try {
      writer.join(Duration.ofSeconds(2));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Builds one log line. */
  public final class Event {
    private final StringBuilder line = new StringBuilder(160);

    private Event(String name) {
      line.append("time=").append(Instant.now()).append(" event=").append(name);
    }

    /**
     * Adds a key=value pair.
     *
     * <p>A value is quoted when it is empty or has white space, quotes, equal signs or backslashes.
     *
     * @param key the key, in lower case with hyphens between words
     * @param value the value, formatted with {@link Object#toString()}
     * @return this builder
     */
    public Event with(String key, Object value) {
      line.append(' ').append(key).append('=').append(quote(String.valueOf(value)));
      return this;
    }

    /**
     * Adds a key=value pair if the value is present.
     *
     * @param key the key
     * @param value the value; nothing is added if it is empty
     * @return this builder
     */
    public Event with(String key, Optional<?> value) {
      value.ifPresent(v -> with(key, (Object) v));
      return this;
    }

    /** Submits the line to the writer thread; it is dropped and counted if the ring is full. */
    public void emit() {
      if (!ring.offerReserved(line.toString()).isAccepted()) {
        dropped.mark();
      }
    }
  }

  private static String quote(String value) {
    boolean plain =
        !value.isEmpty()
            && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != '\\');
    if (plain) {
      return value;
    }
    StringBuilder out = new StringBuilder("\"");
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      switch (c) {
        case '"', '\\' -> out.append('\\').append(c);
        case '\n' -> out.append("\\n");
        case '\r' -> out.append("\\r");
        default -> out.append(c);
      }
    }
    return out.append('"').toString();
  }
}
