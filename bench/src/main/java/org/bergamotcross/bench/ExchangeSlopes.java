package org.bergamotcross.bench;

import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.entry.ActorSystemPlugin;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.entry.peer.ExchangePlugin;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.bergamotcross.kernel.TimeSource;

/**
 * Measures the cost of the peer exchange for a growing, fully meshed fleet.
 *
 * <p>Prints bytes and frames per second and peer, and processor time per frame for sending and
 * receiving together. All instances run in this process, each with its own sockets.
 */
public final class ExchangeSlopes {
  private static final int FIRST_PORT = 21_000;
  private static final Duration WARM_UP_PERIOD = Duration.ofSeconds(10);
  private static final Duration MEASUREMENT_PERIOD = Duration.ofSeconds(10);

  private ExchangeSlopes() {}

  /**
   * Runs the measurement and prints a Markdown table.
   *
   * @param args ignored
   * @throws PluginStartException if an instance cannot start, for example because its port is in
   *     use
   */
  public static void main(String[] args) throws PluginStartException {
    System.out.println(
        "| instances | frames/s per peer | bytes/s per peer | CPU us per frame | CPU ms/s per instance |"
            + " bytes/s per instance |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (int instances : new int[] {4, 2, 8, 16, 32}) {
      measure(instances);
    }
  }

  private static void measure(int instances) throws PluginStartException {
    List<Kernel> kernels = new ArrayList<>();
    try {
      for (int i = 0; i < instances; i++) {
        Kernel kernel = createKernel(i);
        kernels.add(kernel);
        kernel.start();
      }
      Configuration configuration = createConfiguration(kernels);
      kernels.forEach(k -> k.context().publish(Broadcasts.CONFIGURATION, configuration));
      sleep(WARM_UP_PERIOD);
      long frames = sumMeter(kernels, "peer.frames-sent");
      long bytes = sumMeter(kernels, "peer.bytes-sent");
      long cpu = processCpuNanos();
      sleep(MEASUREMENT_PERIOD);
      frames = sumMeter(kernels, "peer.frames-sent") - frames;
      bytes = sumMeter(kernels, "peer.bytes-sent") - bytes;
      cpu = processCpuNanos() - cpu;
      double links = (double) instances * (instances - 1);
      double seconds = MEASUREMENT_PERIOD.toSeconds();
      System.out.printf(
          Locale.ROOT,
          "| %d | %.2f | %.0f | %.1f | %.1f | %.0f |%n",
          instances,
          frames / links / seconds,
          bytes / links / seconds,
          cpu / 1_000.0 / frames,
          cpu / 1_000_000.0 / seconds / instances,
          bytes / seconds / instances);
    } finally {
      kernels.forEach(Kernel::close);
    }
  }

  private static Kernel createKernel(int index) {
    List<Plugin> plugins = List.of(new ActorSystemPlugin(), new ExchangePlugin());
    String text =
        "[instance]\nid = entry-%d\nfailure-domain = d%d\n[listen]\npeers = %s\n"
            .formatted(index, index % 3, peerAddress(index));
    SettingsResult result =
        Settings.parse("entry.ini", text, Kernel.settingsOf(plugins), Kernel.rulesOf(plugins));
    return switch (result) {
      case SettingsResult.Loaded loaded ->
          new Kernel(plugins, loaded.settings(), TimeSource.system());
      case SettingsResult.Rejected rejected ->
          throw new IllegalStateException(rejected.problems().toString());
    };
  }

  private static Configuration createConfiguration(List<Kernel> kernels) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < kernels.size(); i++) {
      long incarnation =
          kernels.get(i).context().service(PeerExchange.class).orElseThrow().incarnation();
      members.add(
          new Member(
              new InstanceId("entry-" + i),
              incarnation,
              new FailureDomain("d" + i % 3),
              peerAddress(i)));
    }
    return Configuration.of(0, Map.of(), Set.of(), new Members(0, members));
  }

  private static String peerAddress(int index) {
    return "127.0.0.1:" + (FIRST_PORT + index);
  }

  private static long sumMeter(List<Kernel> kernels, String meter) {
    return kernels.stream()
        .map(kernel -> kernel.context().metrics())
        .mapToLong((MetricRegistry metrics) -> metrics.meter(meter).getCount())
        .sum();
  }

  private static long processCpuNanos() {
    return ManagementFactory.getPlatformMXBean(com.sun.management.OperatingSystemMXBean.class)
        .getProcessCpuTime();
  }

  private static void sleep(Duration duration) {
    long end = System.nanoTime() + duration.toNanos();
    while (end - System.nanoTime() > 0) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
  }
}
