package org.bergamotcross.entry.http;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;

/**
 * Bounds the memory that all callers' connections hold together, and the time for which one of them
 * may wait for its caller.
 *
 * <p>When the bound is reached, a connection that waits for its caller is closed, the longest
 * waiting first: one that is inside a request or a response, then one between two requests. A
 * connection that has been idle for a moment only is the last choice, because its first request may
 * be on its way.
 */
final class CallerMemory {
  /** Why a connection is closed. */
  enum CloseReason {
    MEMORY("memory"),
    STALLED("stalled"),
    INVALID("invalid");

    private final String label;

    CloseReason(String label) {
      this.label = label;
    }
  }

  /** The state of Pekko's streams for one connection. */
  private static final int CONNECTION_BYTES = 24 << 10;

  /** The buffers and the state of a request and of the connection to its target. */
  private static final int REQUEST_BYTES = 16 << 10;

  /** A pause that a link with lost packets causes. */
  private static final Duration SHORT_PAUSE = Duration.ofSeconds(1);

  private static final int MAX_EVENTS_PER_SECOND = 20;

  private final long maxBytes;
  private final int maxConnections;
  private final Duration stallTimeout;
  private final EventLog events;
  private final MetricRegistry metrics;
  private final AtomicLong heldBytes = new AtomicLong();
  private final AtomicInteger eventsLeft = new AtomicInteger(MAX_EVENTS_PER_SECOND);
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

  /**
   * Creates the bounds of an instance without connections.
   *
   * @param maxBytes the memory for all connections
   * @param maxConnections the most connections
   * @param stallTimeout how long a connection inside a request or a response waits for its caller
   * @param events gets a line for each connection that is closed
   * @param metrics gets the bytes held, and the closed connections by reason
   */
  CallerMemory(
      long maxBytes,
      int maxConnections,
      Duration stallTimeout,
      EventLog events,
      MetricRegistry metrics) {
    this.maxBytes = maxBytes;
    this.maxConnections = maxConnections;
    this.stallTimeout = stallTimeout;
    this.events = events;
    this.metrics = metrics;
    metrics.register("callers.held-bytes", (Gauge<Long>) heldBytes::get);
    for (CloseReason reason : CloseReason.values()) {
      metrics.meter(meterName(reason));
    }
  }

  /**
   * Counts a new connection, and makes room for it.
   *
   * @param requestOpen tells whether a request of the connection awaits its response
   * @param close closes the connection; called at most once, on any thread, and told whether to
   *     discard what the caller has not read
   * @param now the current time
   * @return the connection, or empty if there is no room
   */
  Optional<Connection> open(
      BooleanSupplier requestOpen, Consumer<Boolean> close, ClockReading now) {
    Connection connection = new Connection(requestOpen, close, now);
    connections.add(connection);
    connection.hold(CONNECTION_BYTES);
    boolean fits = makeRoom(connection, now);
    if (!fits) {
      connection.closed();
      record(CloseReason.MEMORY, Duration.ZERO);
    }
    return Optional.of(connection).filter(c -> fits);
  }

  /**
   * Closes the connections that have waited for their callers for too long; called each second.
   *
   * @param now the current time
   */
  void closeStalled(ClockReading now) {
    eventsLeft.set(MAX_EVENTS_PER_SECOND);
    connections.stream()
        .filter(Connection::isInsideMessage)
        .filter(connection -> connection.waited(now).compareTo(stallTimeout) > 0)
        .forEach(connection -> connection.close(CloseReason.STALLED, now));
  }

  /**
   * Returns the memory that all connections hold.
   *
   * @return the number of bytes
   */
  long heldBytes() {
    return heldBytes.get();
  }

  private boolean makeRoom(Connection newest, ClockReading now) {
    while (heldBytes.get() > maxBytes || connections.size() > maxConnections) {
      Predicate<Connection> pausesLong = c -> c.waited(now).compareTo(SHORT_PAUSE) > 0;
      Optional<Connection> victim =
          longestWaiting(newest, now, pausesLong.and(Connection::isInsideMessage))
              .or(() -> longestWaiting(newest, now, pausesLong.and(Connection::isIdle)))
              .or(() -> longestWaiting(newest, now, Connection::isInsideMessage))
              .or(() -> longestWaiting(newest, now, Connection::isIdle));
      if (victim.isEmpty()) {
        return false;
      }
      victim.get().close(CloseReason.MEMORY, now);
    }
    return true;
  }

  private Optional<Connection> longestWaiting(
      Connection newest, ClockReading now, Predicate<Connection> condition) {
    return connections.stream()
        .filter(connection -> connection != newest)
        .filter(condition)
        .max(Comparator.comparing(connection -> connection.waited(now)));
  }

  private void record(CloseReason reason, Duration waited) {
    metrics.meter(meterName(reason)).mark();
    if (eventsLeft.getAndDecrement() > 0) {
      events
          .event("caller.connection-closed")
          .with("reason", reason.label)
          .with("waited-ms", waited.toMillis())
          .with("held-bytes", heldBytes.get())
          .with("connections", connections.size())
          .emit();
    }
  }

  private static String meterName(CloseReason reason) {
    return "callers.closed-" + reason.label;
  }

  /** What one connection holds; updated by its streams. */
  final class Connection {
    private final BooleanSupplier requestOpen;
    private final Consumer<Boolean> close;
    private long held;
    private boolean counted = true;
    private volatile ClockReading lastProgress;
    private volatile boolean awaitsRest;
    private volatile int received;
    private volatile int unread;

    private Connection(BooleanSupplier requestOpen, Consumer<Boolean> close, ClockReading now) {
      this.requestOpen = requestOpen;
      this.close = close;
      this.lastProgress = now;
    }

    /**
     * Records what the connection holds of a request, and closes connections to make room for it.
     *
     * @param insideRequest whether the end of the request has not arrived
     * @param bytes the bytes that can't be passed on yet
     * @param now the current time
     */
    void received(boolean insideRequest, int bytes, ClockReading now) {
      received = (insideRequest ? REQUEST_BYTES : 0) + bytes;
      update(now);
    }

    /**
     * Records whether the connection waits for its caller to send the rest of a request.
     *
     * @param waits false if no request has begun, or its target has not taken what arrived
     * @param now the current time
     */
    void awaitsRest(boolean waits, ClockReading now) {
      awaitsRest = waits;
      lastProgress = now;
    }

    /**
     * Records the part of a response that the caller has not read.
     *
     * @param bytes the bytes
     * @param now the current time
     */
    void unread(int bytes, ClockReading now) {
      unread = bytes;
      lastProgress = now;
      update(now);
    }

    /** Ends the count of the connection. */
    void closed() {
      connections.remove(this);
      release();
    }

    /** Records that the connection ends because of what its caller sent. */
    void invalid(ClockReading now) {
      record(CloseReason.INVALID, waited(now));
    }

    private void update(ClockReading now) {
      hold(CONNECTION_BYTES + received + unread);
      if (!makeRoom(this, now)) {
        close(CloseReason.MEMORY, now);
      }
    }

    /** Counts what the connection holds; after its end its streams may still report something. */
    private synchronized void hold(long bytes) {
      if (counted) {
        heldBytes.addAndGet(bytes - held);
        held = bytes;
      }
    }

    private synchronized void release() {
      hold(0);
      counted = false;
    }

    private boolean isInsideMessage() {
      return awaitsRest || unread > 0;
    }

    private boolean isIdle() {
      return !isInsideMessage() && !requestOpen.getAsBoolean();
    }

    private Duration waited(ClockReading now) {
      return now.since(lastProgress);
    }

    private void close(CloseReason reason, ClockReading now) {
      if (connections.contains(this)) {
        closed();
        record(reason, waited(now));
        close.accept(!isIdle());
      }
    }
  }
}
