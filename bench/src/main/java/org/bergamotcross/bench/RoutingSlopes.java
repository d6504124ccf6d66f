package org.bergamotcross.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.routing.FailureRisk;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.InFlightCounts;
import org.bergamotcross.core.routing.PoolHealth;
import org.bergamotcross.core.routing.PoolHealthReport;
import org.bergamotcross.core.routing.PoolLoad;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetChooser;
import org.bergamotcross.kernel.Now;

/**
 * Measures the cost of the routing decisions and the size of their state over several sizes.
 *
 * <pre>{@code
 * java -Xmx256m -cp ... org.bergamotcross.bench.RoutingSlopes
 * }</pre>
 */
public final class RoutingSlopes {
  private static final int[] TARGETS = {6, 16, 64};
  private static final int[] OBSERVERS = {1, 17, 64};
  private static final int WARM_UP = 20_000;
  private static final int CALLS = 100_000;
  private static final SendResult OK = new SendResult.Completed(200, false);

  private RoutingSlopes() {}

  /**
   * Prints one line for each size.
   *
   * @param args none
   */
  public static void main(String[] args) {
    System.out.println(
        "| targets | observers | choice us | start+end us | quiet tick us"
            + " | suspicious tick us | bytes per target and observer |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (int targets : TARGETS) {
      for (int observers : OBSERVERS) {
        System.out.println(line(targets, observers));
      }
    }
  }

  private static String line(int targets, int observers) {
    Pool pool = new Deployment("slopes", 3, observers, targets, 500).pool();
    PoolHealth health = health(pool);
    double quiet = micros(CALLS / 20, i -> health.tick(at(10_000 + i * 50L)));
    double startEnd = micros(CALLS, i -> startAndEnd(health, i, targets));
    double choice = choiceMicros(pool, observers);
    double bytes = bytesPerObservation(pool, observers);
    PoolHealth suspicious = health(pool);
    reports(pool, observers).forEach(report -> suspicious.onPeerReport(report, at(0)));
    double suspect = micros(CALLS / 100, i -> suspicious.tick(at(i % 2_000)));
    return String.format(
        Locale.ROOT,
        "| %d | %d | %.2f | %.2f | %.1f | %.1f | %.0f |",
        targets,
        observers,
        choice,
        startEnd,
        quiet,
        suspect,
        bytes);
  }

  private static Now at(long millis) {
    return Now.ofMillis(1_000_000 + millis);
  }

  private static PoolHealth health(Pool pool) {
    return new PoolHealth(new InstanceId("self"), 1, new FailureDomain("d0"), pool, at(0));
  }

  private static void startAndEnd(PoolHealth health, int i, int targets) {
    TargetId target = Deployment.targetId(i % targets);
    String attempt = "a" + i;
    health.onAttemptStarted(attempt, target, at(i));
    health.onAttemptEnded(attempt, target, OK, Duration.ofMillis(1), at(i + 1));
  }

  private static double choiceMicros(Pool pool, int observers) {
    InFlightCounts counts = new InFlightCounts();
    for (int i = 0; i < observers; i++) {
      counts.onPeerReport(new InstanceId("p" + i), Map.of(Deployment.targetId(0), 0.3), at(0));
    }
    TargetChooser chooser =
        new TargetChooser(
            new FailureDomain("d0"),
            counts,
            new FailureRisk(),
            new PoolLoad(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    HealthView view = new HealthView(Map.of());
    return micros(CALLS, i -> chooser.choose(pool, view, true, Optional.empty(), at(1)));
  }

  private interface Call {
    void run(int i);
  }

  private static double micros(int calls, Call call) {
    for (int i = 0; i < Math.min(WARM_UP, calls); i++) {
      call.run(i);
    }
    long start = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      call.run(i);
    }
    return (System.nanoTime() - start) / 1_000.0 / calls;
  }

  /** Builds what each observer tells when it has something to say about each target. */
  private static List<PoolHealthReport> reports(Pool pool, int observers) {
    List<PoolHealthReport> reports = new ArrayList<>();
    for (int i = 0; i < observers; i++) {
      PoolHealth peer =
          new PoolHealth(
              new InstanceId("p" + i), 1, new FailureDomain("d" + i % 3), pool, at(-1_000));
      for (int t = 1; t < pool.targets().size(); t++) {
        TargetId target = Deployment.targetId(t);
        peer.onAttemptStarted("a" + t, target, at(-990));
        peer.onAttemptEnded("a" + t, target, OK, Duration.ofMillis(1), at(-989));
      }
      peer.onAttemptStarted("stalled", Deployment.targetId(0), at(-900));
      // A longer step between two ticks would count as a pause of the process.
      for (int millis = -850; millis <= 0; millis += 50) {
        peer.tick(at(millis));
      }
      peer.report(at(0)).ifPresent(reports::add);
    }
    return reports;
  }

  private static double bytesPerObservation(Pool pool, int observers) {
    List<PoolHealthReport> reports = reports(pool, observers);
    List<PoolHealth> kept = new ArrayList<>();
    int copies = Math.max(1, 20_000 / (pool.targets().size() * observers));
    long before = usedBytes();
    for (int i = 0; i < copies; i++) {
      PoolHealth health = health(pool);
      reports.forEach(report -> health.onPeerReport(report, at(0)));
      kept.add(health);
    }
    double used = usedBytes() - before;
    return used / kept.size() / pool.targets().size() / observers;
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
