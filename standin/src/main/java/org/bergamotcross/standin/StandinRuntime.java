package org.bergamotcross.standin;

import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Now;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;

/**
 * What all stand-ins of a process share: the threads that move bytes, and the timer.
 *
 * <p>Shared because a test starts up to 40 targets in one process, and an actor system for each
 * would start some 20 threads each. Opened by the first user and ended by the last one.
 */
final class StandinRuntime implements AutoCloseable {
  private static final String PEKKO_CONFIG =
      """
      pekko.daemonic = on
      pekko.loglevel = OFF
      pekko.stdout-loglevel = OFF
      pekko.jvm-shutdown-hooks = off
      pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
      pekko.actor.default-dispatcher.fork-join-executor.parallelism-min = 2
      pekko.actor.default-dispatcher.fork-join-executor.parallelism-max = 4
      pekko.actor.internal-dispatcher.fork-join-executor.parallelism-min = 2
      pekko.actor.internal-dispatcher.fork-join-executor.parallelism-max = 2
      pekko.http.server.request-timeout = infinite
      pekko.http.server.idle-timeout = infinite
      pekko.http.server.server-header = ""
      pekko.http.server.backlog = 1024
      # Above 1, so that the server keeps reading while it works and sees a closed connection.
      pekko.http.server.pipelining-limit = 4
      pekko.http.server.parsing.max-content-length = infinite
      """;

  private static final Object LOCK = new Object();
  private static StandinRuntime shared;
  private static int userCount;

  private final ActorSystem system =
      ActorSystem.create(
          "standin", ConfigFactory.parseString(PEKKO_CONFIG).withFallback(ConfigFactory.load()));
  private final ScheduledThreadPoolExecutor timer =
      new ScheduledThreadPoolExecutor(
          1,
          task -> {
            Thread thread = new Thread(task, "standin-timer");
            thread.setDaemon(true);
            return thread;
          });

  private StandinRuntime() {
    timer.setRemoveOnCancelPolicy(true);
    timer.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Returns the shared runtime; each caller closes it once. */
  static StandinRuntime acquire() {
    synchronized (LOCK) {
      if (userCount == 0) {
        shared = new StandinRuntime();
      }
      userCount++;
      return shared;
    }
  }

  /** Creates a kernel without plug-ins, whose context runs the duty of one stand-in. */
  static Kernel newKernel() {
    return switch (Settings.parse("standin", "", List.of(), List.of())) {
      case SettingsResult.Loaded loaded ->
          new Kernel(List.of(), loaded.settings(), StandinRuntime::now);
      case SettingsResult.Rejected rejected ->
          throw new IllegalStateException("empty settings were rejected: " + rejected.problems());
    };
  }

  private static Now now() {
    return new Now(System.nanoTime(), System.currentTimeMillis());
  }

  ActorSystem system() {
    return system;
  }

  /** Runs a short task once the time has passed. */
  void schedule(Duration delay, Runnable task) {
    var unused = timer.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  @Override
  public void close() {
    synchronized (LOCK) {
      userCount--;
      if (userCount == 0) {
        timer.shutdownNow();
        var unused = system.terminate();
      }
    }
  }
}
