package org.bergamotcross.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.Setting;

/**
 * Ends an instance in good order: requests in hand finish, new ones are refused.
 *
 * <p>The plug-ins hear {@link Broadcasts#SHUTDOWN} at the first signal, and again with a limit that
 * has come at the second one.
 */
final class GracefulShutdown {
  // The routing duty cuts requests at its next tick; their refusals still have to be written.
  private static final Duration GRACE = Duration.ofSeconds(1);
  private static final Duration CLOSE_LIMIT = Duration.ofSeconds(1);
  // An append and a read of the log; without the log the members expel the instance later.
  private static final Duration LEAVE_LIMIT = Duration.ofSeconds(2);
  // The messages that hand buckets over have to leave the process.
  private static final Duration HANDOVER = Duration.ofMillis(100);
  private static final Duration CHECK = Duration.ofMillis(5);
  private static final Duration PARK = Duration.ofHours(1);

  private record Signal() {}

  private final PluginContext context;
  private final AtomicReference<Configuration> configuration =
      new AtomicReference<>(Configuration.EMPTY);
  private final Ring<Signal> signals = new Ring<>("signals", 8);

  GracefulShutdown(PluginContext context) {
    this.context = context;
    context.subscribe(Broadcasts.CONFIGURATION, configuration::set);
  }

  /** Notes a signal; the first one starts the stop and the next one ends it. */
  void signal() {
    signals.offerReserved(new Signal());
  }

  /**
   * Waits for the first signal, then until all requests have ended.
   *
   * @return whether no request was cut
   */
  boolean await() {
    try {
      while (signals.poll(PARK).isEmpty()) {
        // Parks again.
      }
      return stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private boolean stop() throws InterruptedException {
    Now limit = now().plus(millis(EntrySettings.STOP_LIMIT_MS));
    serveOn(limit);
    announce(limit, Optional.empty());
    boolean cut = false;
    while (openRequests() > 0 && now().isBefore(limit.plus(GRACE))) {
      if (signals.poll(CHECK).isPresent()) {
        limit = now();
        announce(limit, Optional.empty());
      }
      cut |= !now().isBefore(limit) && openRequests() > 0;
    }
    open().ifPresent(OpenRequests::closeIdleConnections);
    awaitClosed();
    awaitLeave();
    context.events().event("stop.ended").with("cut", cut).emit();
    return !cut;
  }

  /** Serves new requests until load balancers have noticed the stop, or until a second signal. */
  private void serveOn(Now limit) throws InterruptedException {
    Duration accept = millis(EntrySettings.STOP_ACCEPT_MS);
    if (!accept.isZero()) {
      announce(limit, Optional.of(now().plus(accept)));
      signals.poll(accept);
    }
  }

  private void announce(Now limit, Optional<Now> acceptUntil) {
    context
        .events()
        .event("stop.started")
        .with("limit-ms", limit.since(now()).toMillis())
        .with("accepting", acceptUntil.isPresent())
        .emit();
    context.publish(Broadcasts.SHUTDOWN, new Broadcasts.Shutdown(limit, acceptUntil));
  }

  private Duration millis(Setting<Integer> setting) {
    return Duration.ofMillis(context.settings().value(setting));
  }

  /** The last responses are still being written after their requests have ended. */
  private void awaitClosed() throws InterruptedException {
    Now limit = now().plus(CLOSE_LIMIT);
    while (open().map(OpenRequests::connectionCount).orElse(0) > 0 && now().isBefore(limit)) {
      signals.poll(CHECK);
    }
  }

  /** The holders that replace this instance get its buckets when it has read its own leave. */
  private void awaitLeave() throws InterruptedException {
    Now limit = now().plus(LEAVE_LIMIT);
    while (isMember() && now().isBefore(limit)) {
      signals.poll(CHECK);
    }
    signals.poll(HANDOVER);
  }

  private boolean isMember() {
    InstanceId self = new InstanceId(context.settings().value(EntrySettings.INSTANCE_ID));
    return configuration.get().members().find(self).isPresent();
  }

  private int openRequests() {
    return open().map(OpenRequests::requestCount).orElse(0);
  }

  private Optional<OpenRequests> open() {
    return context.service(OpenRequests.class);
  }

  private Now now() {
    return context.time().now();
  }
}
