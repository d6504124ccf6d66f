package org.bergamotcross.standin;

import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;

/**
 * Actor system for network I/O and timer, shared by all stand-ins of a process.
 *
 * <p>Reference-counted: the first user creates the runtime, the last one to close it shuts it down.
 * A test runs up to 40 targets in one process, and an actor system starts about 20 threads.
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
      # More than 1 keeps a read pending during a request, which detects a closed connection.
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

  /** Returns the shared runtime, which each caller must close exactly once. */
  static StandinRuntime acquire() {
    synchronized (LOCK) {
      if (userCount == 0) {
        shared = new StandinRuntime();
      }
      userCount++;
      return shared;
    }
  }

  /** Creates a kernel without plug-ins to run the duty of one stand-in. */
  static Kernel newKernel() {
    return switch (Settings.parse("standin", "", List.of(), List.of())) {
      case SettingsResult.Loaded loaded ->
          new Kernel(List.of(), loaded.settings(), StandinRuntime::now);
      case SettingsResult.Rejected rejected ->
          throw new IllegalStateException("empty settings were rejected: " + rejected.problems());
    };
  }

  private static ClockReading now() {
    return new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }

  ActorSystem system() {
    return system;
  }

  /** Runs a task on the timer thread after a delay; the task must not block. */
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
