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
import org.bergamotcross.core.routing.TargetNotices;
import org.bergamotcross.kernel.ClockReading;

/**
 * Measures the duration of routing decisions and the memory of their state at growing sizes.
 *
 * <pre>{@code
 * java -Xmx256m -cp ... org.bergamotcross.bench.RoutingSlopes
 * }</pre>
 */
public final class RoutingSlopes {
  private static final int[] TARGET_COUNTS = {6, 16, 64};
  private static final int[] OBSERVER_COUNTS = {1, 17, 64};
  private static final int WARM_UP_CALLS = 20_000;
  private static final int MEASURED_CALLS = 100_000;
  private static final SendResult SUCCESS = new SendResult.Completed(200, false);

  private RoutingSlopes() {}

  /**
   * Runs the measurement and prints a Markdown table.
   *
   * @param args ignored
   */
  public static void main(String[] args) {
    System.out.println(
        "| targets | observers | choice us | start+end us | quiet tick us"
            + " | suspicious tick us | bytes per target and observer |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (int targets : TARGET_COUNTS) {
      for (int observers : OBSERVER_COUNTS) {
        System.out.println(measureRow(targets, observers));
      }
    }
  }

  private static String measureRow(int targets, int observers) {
    Pool pool = new Deployment("slopes", 3, observers, targets, 500).createPool();
    PoolHealth health = createPoolHealth(pool);
    double quietTick =
        averageMicros(MEASURED_CALLS / 20, i -> health.tick(timeAfterMillis(10_000 + i * 50L)));
    double startEnd = averageMicros(MEASURED_CALLS, i -> startAndEnd(health, i, targets));
    double choice = choiceMicros(pool, observers);
    double bytes = bytesPerObservation(pool, observers);
    PoolHealth suspicious = createPoolHealth(pool);
    createPeerReports(pool, observers)
        .forEach(report -> suspicious.onPeerReport(report, timeAfterMillis(0)));
    double suspiciousTick =
        averageMicros(MEASURED_CALLS / 100, i -> suspicious.tick(timeAfterMillis(i % 2_000)));
    return String.format(
        Locale.ROOT,
        "| %d | %d | %.2f | %.2f | %.1f | %.1f | %.0f |",
        targets,
        observers,
        choice,
        startEnd,
        quietTick,
        suspiciousTick,
        bytes);
  }

  private static ClockReading timeAfterMillis(long millis) {
    return ClockReading.ofMillis(1_000_000 + millis);
  }

  private static PoolHealth createPoolHealth(Pool pool) {
    return new PoolHealth(
        new InstanceId("self"), 1, new FailureDomain("d0"), pool, timeAfterMillis(0));
  }

  private static void startAndEnd(PoolHealth health, int i, int targets) {
    TargetId target = Deployment.targetId(i % targets);
    String attempt = "a" + i;
    health.onAttemptStarted(attempt, target, timeAfterMillis(i));
    health.onAttemptEnded(attempt, target, SUCCESS, Duration.ofMillis(1), timeAfterMillis(i + 1));
  }

  private static double choiceMicros(Pool pool, int observers) {
    InFlightCounts counts = new InFlightCounts();
    for (int i = 0; i < observers; i++) {
      counts.onPeerReport(
          new InstanceId("p" + i), Map.of(Deployment.targetId(0), 0.3), timeAfterMillis(0));
    }
    TargetChooser chooser =
        new TargetChooser(
            new FailureDomain("d0"),
            counts,
            new FailureRisk(),
            new PoolLoad(),
            new TargetNotices(RandomSource.XO_RO_SHI_RO_128_PP.create(2)),
            RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    HealthView view = new HealthView(Map.of());
    return averageMicros(
        MEASURED_CALLS,
        i -> chooser.choose(pool, view, true, Optional.empty(), timeAfterMillis(1)));
  }

  private interface Call {
    void run(int i);
  }

  private static double averageMicros(int calls, Call call) {
    for (int i = 0; i < Math.min(WARM_UP_CALLS, calls); i++) {
      call.run(i);
    }
    long start = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      call.run(i);
    }
    return (System.nanoTime() - start) / 1_000.0 / calls;
  }

  /** Creates the report of each observer, with observations of all targets and a stalled one. */
  private static List<PoolHealthReport> createPeerReports(Pool pool, int observers) {
    List<PoolHealthReport> reports = new ArrayList<>();
    for (int i = 0; i < observers; i++) {
      PoolHealth peer =
          new PoolHealth(
              new InstanceId("p" + i),
              1,
              new FailureDomain("d" + i % 3),
              pool,
              timeAfterMillis(-1_000));
      for (int t = 1; t < pool.targets().size(); t++) {
        TargetId target = Deployment.targetId(t);
        peer.onAttemptStarted("a" + t, target, timeAfterMillis(-990));
        peer.onAttemptEnded("a" + t, target, SUCCESS, Duration.ofMillis(1), timeAfterMillis(-989));
      }
      peer.onAttemptStarted("stalled", Deployment.targetId(0), timeAfterMillis(-900));
      // A longer interval between two ticks would be detected as a pause of the process.
      for (int millis = -850; millis <= 0; millis += 50) {
        peer.tick(timeAfterMillis(millis));
      }
      peer.report(timeAfterMillis(0)).ifPresent(reports::add);
    }
    return reports;
  }

  private static double bytesPerObservation(Pool pool, int observers) {
    List<PoolHealthReport> reports = createPeerReports(pool, observers);
    List<PoolHealth> kept = new ArrayList<>();
    int copies = Math.max(1, 20_000 / (pool.targets().size() * observers));
    long before = usedHeapBytes();
    for (int i = 0; i < copies; i++) {
      PoolHealth health = createPoolHealth(pool);
      reports.forEach(report -> health.onPeerReport(report, timeAfterMillis(0)));
      kept.add(health);
    }
    double used = usedHeapBytes() - before;
    return used / kept.size() / pool.targets().size() / observers;
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
