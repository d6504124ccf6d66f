package org.bergamotcross.kernel;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Optional;

/**
 * Runs one duty on its own named thread, the only thread that accesses the state of the handler.
 *
 * <p>The thread parks in {@link Ring#poll} until a message arrives or the next tick is due.
 *
 * @param <T> the type of the messages
 */
final class Duty<T> implements AutoCloseable {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  // A longer delay means that the handler has no timed work; the next message may create some, so
  // the handler is ticked again right after it.
  private static final Duration IDLE_DELAY_THRESHOLD = Duration.ofMillis(50);

  private final String name;
  private final Ring<T> ring;
  private final DutyHandler<T> handler;
  private final TimeSource time;
  private final EventLog events;
  private final Meter failures;
  private final Thread thread;
  private volatile boolean stopping;

  Duty(
      String name,
      Ring<T> ring,
      DutyHandler<T> handler,
      TimeSource time,
      EventLog events,
      MetricRegistry metrics) {
    this.name = name;
    this.ring = ring;
    this.handler = handler;
    this.time = time;
    this.events = events;
    this.failures = metrics.meter(MetricRegistry.name("duty", name, "failures"));
    this.thread = new Thread(this::run, "duty-" + name);
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void run() {
    ClockReading nextTick = time.now();
    boolean idle = false;
    while (!stopping) {
      try {
        Duration wait = nextTick.since(time.now());
        Optional<T> message = ring.poll(wait.isNegative() ? Duration.ZERO : wait);
        ClockReading now = time.now();
        message.ifPresent(m -> handle(m, now));
        if (!now.isBefore(nextTick) || (idle && message.isPresent())) {
          Duration delay = tick(now);
          idle = delay.compareTo(IDLE_DELAY_THRESHOLD) > 0;
          nextTick = now.plus(delay);
        }
      } catch (InterruptedException e) {
        if (stopping) {
          return;
        }
      }
    }
  }

  private void handle(T message, ClockReading now) {
    try {
      handler.onMessage(message, now);
    } catch (RuntimeException e) {
      recordFailure(e, message.getClass().getSimpleName());
    }
  }

  private Duration tick(ClockReading now) {
    try {
      return handler.onTick(now);
    } catch (RuntimeException e) {
      recordFailure(e, "tick");
      return Duration.ofSeconds(1);
    }
  }

  // The thread survives a failed message, because all requests depend on the duty.
  private void recordFailure(RuntimeException e, String message) {
    failures.mark();
    events.event("duty.failed").with("duty", name).with("message", message).with("error", e).emit();
  }

  @Override
  public void close() {
    stopping = true;
    thread.interrupt();
    try {
      thread.join(STOP_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
