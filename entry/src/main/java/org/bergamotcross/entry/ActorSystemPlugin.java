package org.bergamotcross.entry;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.Terminated;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;

/**
 * Provides the {@link ActorSystem} that the whole process shares; its threads do network I/O only.
 *
 * <p>The actor system is registered with the closer during configuration, before any plug-in
 * starts, so it is closed after all plug-ins that use it.
 */
public final class ActorSystemPlugin implements Plugin {
  private static final Duration TERMINATION_TIMEOUT = Duration.ofSeconds(5);

  @Override
  public String name() {
    return "actor-system";
  }

  @Override
  public void configure(PluginContext context) {
    ActorSystem system = ActorSystem.create("bergamotcross", config());
    context.closer().register("actor-system", () -> terminate(system));
    context.provide(ActorSystem.class, system);
  }

  @Override
  public void start(PluginContext context) {}

  // Pekko's JVM shutdown hook is off: the daemon handles signals and drains open requests first.
  private static Config config() {
    return ConfigFactory.parseString(
            """
            pekko.loglevel = WARNING
            # The scheduler wakes up on every tick; the shortest timeout it has to keep is 400 ms.
            pekko.scheduler.tick-duration = 100ms
            # A single I/O thread: on machines with about one core, handing work to a second thread
            # costs more in wake-ups than it saves. A fork-join worker prefers the tasks that it
            # submitted itself, so that one busy connection would delay all others for seconds.
            pekko.actor.default-dispatcher.executor = thread-pool-executor
            pekko.actor.default-dispatcher.thread-pool-executor.fixed-pool-size = 1
            pekko.actor.internal-dispatcher = pekko.actor.default-dispatcher
            # Each of the first tasks would start a thread of its own, and there are few tasks.
            pekko.actor.default-blocking-io-dispatcher.thread-pool-executor.fixed-pool-size = 1
            # All messages of one read are parsed by recursion. A larger read that is full of small
            # requests or interim responses would overflow the stack, which ends the process.
            pekko.io.tcp.max-received-message-size = 4 KiB
            pekko.log-dead-letters = off
            pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
            pekko.coordinated-shutdown.exit-jvm = off
            """)
        .withFallback(ConfigFactory.load());
  }

  private static void terminate(ActorSystem system) throws InterruptedException {
    CompletionStage<Terminated> done = system.getWhenTerminated();
    system.terminate();
    try {
      done.toCompletableFuture().get(TERMINATION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException(
          "the actor system did not stop within " + TERMINATION_TIMEOUT, e);
    }
  }
}
