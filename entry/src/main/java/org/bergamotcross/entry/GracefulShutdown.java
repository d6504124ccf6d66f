package org.bergamotcross.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;

/**
 * Shuts an instance down gracefully: open requests are drained, new ones are refused.
 *
 * <p>{@link Broadcasts#SHUTDOWN} is published at the first signal, and again at the second one with
 * a limit that has already passed.
 */
final class GracefulShutdown {
  // After the limit, the routing duty cuts requests on its next tick; then the refusals are
  // written.
  private static final Duration REFUSAL_WRITE_LIMIT = Duration.ofSeconds(1);
  private static final Duration CONNECTION_CLOSE_LIMIT = Duration.ofSeconds(1);
  // Covers one append to the log and one read; without the log, the members expel the instance
  // later.
  private static final Duration LEAVE_LIMIT = Duration.ofSeconds(2);
  // Lets the messages that hand token buckets over leave the process.
  private static final Duration BUCKET_HANDOVER_DELAY = Duration.ofMillis(100);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
  private static final Duration SIGNAL_WAIT = Duration.ofHours(1);

  private record Signal() {}

  private final PluginContext context;
  private final AtomicReference<Configuration> configuration =
      new AtomicReference<>(Configuration.EMPTY);
  private final Ring<Signal> signals = new Ring<>("signals", 8);

  GracefulShutdown(PluginContext context) {
    this.context = context;
    context.subscribe(Broadcasts.CONFIGURATION, configuration::set);
  }

  /** Signals a shutdown: the first call starts draining, the next one ends it. Returns at once. */
  void signal() {
    signals.offerReserved(new Signal());
  }

  /**
   * Waits for the first signal, then drains all requests.
   *
   * @return whether no request was cut
   */
  boolean await() {
    try {
      while (signals.poll(SIGNAL_WAIT).isEmpty()) {
        // No signal arrived within the wait; waits again.
      }
      return drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private boolean drain() throws InterruptedException {
    ShutdownSchedule schedule = ShutdownSchedule.of(context.settings());
    ClockReading limit = now().plus(schedule.limit());
    acceptUntilNoticed(schedule.accept(), limit);
    publishShutdown(limit, Optional.empty());
    boolean cut = false;
    while (openRequestCount() > 0 && now().isBefore(limit.plus(REFUSAL_WRITE_LIMIT))) {
      if (signals.poll(POLL_INTERVAL).isPresent()) {
        limit = now();
        publishShutdown(limit, Optional.empty());
      }
      cut |= !now().isBefore(limit) && openRequestCount() > 0;
    }
    openRequestCounter().ifPresent(OpenRequests::closeIdleConnections);
    awaitConnectionsClosed();
    awaitMembershipEnd();
    context.events().event("stop.ended").with("cut", cut).emit();
    return !cut;
  }

  /**
   * Accepts new requests until load balancers have noticed the shutdown or a second signal arrives.
   */
  private void acceptUntilNoticed(Duration accept, ClockReading limit) throws InterruptedException {
    if (!accept.isZero()) {
      publishShutdown(limit, Optional.of(now().plus(accept)));
      signals.poll(accept);
    }
  }

  private void publishShutdown(ClockReading limit, Optional<ClockReading> acceptUntil) {
    context
        .events()
        .event("stop.started")
        .with("limit-ms", limit.since(now()).toMillis())
        .with("accepting", acceptUntil.isPresent())
        .emit();
    context.publish(Broadcasts.SHUTDOWN, new Broadcasts.Shutdown(limit, acceptUntil));
  }

  /**
   * Waits for the connections to close: last responses are still written after their requests
   * ended.
   */
  private void awaitConnectionsClosed() throws InterruptedException {
    ClockReading limit = now().plus(CONNECTION_CLOSE_LIMIT);
    while (openRequestCounter().map(OpenRequests::connectionCount).orElse(0) > 0
        && now().isBefore(limit)) {
      signals.poll(POLL_INTERVAL);
    }
  }

  /**
   * Waits until this instance has read its own leave record, because only then it hands its token
   * buckets over to the holders that replace it.
   */
  private void awaitMembershipEnd() throws InterruptedException {
    ClockReading limit = now().plus(LEAVE_LIMIT);
    while (isMember() && now().isBefore(limit)) {
      signals.poll(POLL_INTERVAL);
    }
    signals.poll(BUCKET_HANDOVER_DELAY);
  }

  private boolean isMember() {
    InstanceId self = new InstanceId(context.settings().value(EntrySettings.INSTANCE_ID));
    return configuration.get().members().find(self).isPresent();
  }

  private int openRequestCount() {
    return openRequestCounter().map(OpenRequests::requestCount).orElse(0);
  }

  private Optional<OpenRequests> openRequestCounter() {
    return context.service(OpenRequests.class);
  }

  private ClockReading now() {
    return context.time().now();
  }
}
