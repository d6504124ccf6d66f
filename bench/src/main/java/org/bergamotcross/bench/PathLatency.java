package org.bergamotcross.bench;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.standin.FreePorts;
import org.bergamotcross.standin.PlatformStandin;
import org.bergamotcross.standin.TargetStandin;

/**
 * Measures the latency that one entry instance adds, compared with direct requests to the same
 * targets in the same run.
 *
 * <p>The instance is a child process; targets, platform and callers run in this process. Two open
 * loads of the same fixed rate run side by side, one directly to the targets and one through the
 * instance. A request that starts late because the previous one on its connection took long is
 * timed from its scheduled start, which avoids coordinated omission.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.bench.PathLatency --rate 500 --seconds 30
 * }</pre>
 */
public final class PathLatency {
  private static final int TARGET_COUNT = 6;
  private static final int CALLER_COUNT = 16;
  private static final int HTTP_OK = 200;
  private static final String KEY = "bench-key-0123456789";
  private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

  private final int requestsPerSecond;
  private final Duration measurementPeriod;
  private final Duration warmUpPeriod;

  private PathLatency(int requestsPerSecond, Duration measurementPeriod, Duration warmUpPeriod) {
    this.requestsPerSecond = requestsPerSecond;
    this.measurementPeriod = measurementPeriod;
    this.warmUpPeriod = warmUpPeriod;
  }

  /**
   * Runs the measurement and prints a line for the direct load, the load through the instance, and
   * the difference.
   *
   * @param arguments {@code --rate} requests/s for each load, {@code --seconds}, {@code --warm-up}
   * @throws Exception if a socket or the instance process fails
   */
  public static void main(String[] arguments) throws Exception {
    Options options =
        new Options()
            .addOption(numericOption("rate", "requests per second for each load; default 500"))
            .addOption(numericOption("seconds", "length of the measurement; default 30"))
            .addOption(
                numericOption("warm-up", "seconds of load before the measurement; default 20"));
    try {
      CommandLine line = new DefaultParser().parse(options, arguments);
      new PathLatency(
              intValue(line, "rate", 500),
              Duration.ofSeconds(intValue(line, "seconds", 30)),
              Duration.ofSeconds(intValue(line, "warm-up", 20)))
          .run();
      System.exit(0);
    } catch (ParseException | NumberFormatException e) {
      System.err.println(e.getMessage() + "; use --rate N --seconds N --warm-up N");
      System.exit(2);
    }
  }

  private void run() throws Exception {
    List<TargetStandin> targets = new ArrayList<>();
    for (int i = 0; i < TARGET_COUNT; i++) {
      // The instance does not count the direct requests; slots for both loads keep the targets from
      // rejecting requests.
      targets.add(
          TargetStandin.builder("target-" + i)
              .slots(2 * CALLER_COUNT)
              .workTime(Duration.ofMillis(5))
              .start());
    }
    try (PlatformStandin platform = PlatformStandin.builder().start()) {
      publishTeamSettings(platform.address(), targets);
      InetSocketAddress callers = freeAddress();
      Process entry = startEntry(platform.address(), callers);
      try {
        awaitServing(callers);
        List<InetSocketAddress> direct = targets.stream().map(TargetStandin::address).toList();
        measure(direct, List.of(callers), warmUpPeriod);
        Histogram[] measured = measure(direct, List.of(callers), measurementPeriod);
        printLatencies("direct", measured[0]);
        printLatencies("through-entry", measured[1]);
        printAddedLatencies(measured[0], measured[1]);
      } finally {
        entry.destroy();
        entry.waitFor();
        System.out.println("entry exit-code=" + entry.exitValue());
      }
    }
  }

  private Histogram[] measure(
      List<InetSocketAddress> direct, List<InetSocketAddress> entry, Duration duration)
      throws Exception {
    LoadGenerator directLoad = new LoadGenerator(direct, duration);
    LoadGenerator entryLoad = new LoadGenerator(entry, duration);
    directLoad.join();
    entryLoad.join();
    return new Histogram[] {directLoad.mergedHistogram(), entryLoad.mergedHistogram()};
  }

  /** Generates load at a fixed rate, with one connection per caller. */
  private final class LoadGenerator {
    private final List<Thread> callers = new ArrayList<>();
    private final List<Histogram> histograms = new ArrayList<>();

    LoadGenerator(List<InetSocketAddress> addresses, Duration duration) {
      long intervalNanos = TimeUnit.SECONDS.toNanos(1) * CALLER_COUNT / requestsPerSecond;
      long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
      for (int i = 0; i < CALLER_COUNT; i++) {
        Histogram histogram = new Histogram(MAX_LATENCY_NANOS, 3);
        histograms.add(histogram);
        InetSocketAddress address = addresses.get(i % addresses.size());
        long firstNanos = start + intervalNanos * i / CALLER_COUNT;
        Thread thread =
            new Thread(
                () ->
                    runCaller(
                        address, firstNanos, intervalNanos, start + duration.toNanos(), histogram));
        callers.add(thread);
        thread.start();
      }
    }

    void join() throws InterruptedException {
      for (Thread thread : callers) {
        thread.join();
      }
    }

    Histogram mergedHistogram() {
      Histogram all = new Histogram(MAX_LATENCY_NANOS, 3);
      histograms.forEach(all::add);
      return all;
    }
  }

  private static void runCaller(
      InetSocketAddress address,
      long firstNanos,
      long intervalNanos,
      long endNanos,
      Histogram histogram) {
    try (HttpConnection connection = new HttpConnection(address)) {
      for (long scheduledNanos = firstNanos;
          scheduledNanos < endNanos;
          scheduledNanos += intervalNanos) {
        long waitNanos = scheduledNanos - System.nanoTime();
        if (waitNanos > 0) {
          LockSupport.parkNanos(waitNanos);
        }
        // A late wake-up of this thread is not latency of the path; a delay by the previous
        // response is, and counts from the scheduled start.
        long startNanos = waitNanos > 0 ? System.nanoTime() : scheduledNanos;
        int status = connection.get("/bench/work");
        histogram.recordValue(System.nanoTime() - startNanos);
        if (status != HTTP_OK) {
          throw new IllegalStateException(address + " responded with status " + status);
        }
      }
    } catch (IOException e) {
      throw new IllegalStateException("request to " + address + " failed", e);
    }
  }

  private static void printLatencies(String load, Histogram histogram) {
    System.out.printf(
        "way=%s requests=%d p50-us=%d p99-us=%d p99.9-us=%d max-us=%d%n",
        load,
        histogram.getTotalCount(),
        percentileMicros(histogram, 50),
        percentileMicros(histogram, 99),
        percentileMicros(histogram, 99.9),
        TimeUnit.NANOSECONDS.toMicros(histogram.getMaxValue()));
  }

  private static void printAddedLatencies(Histogram direct, Histogram entry) {
    System.out.printf(
        "added p50-us=%d p99-us=%d p99.9-us=%d%n",
        percentileMicros(entry, 50) - percentileMicros(direct, 50),
        percentileMicros(entry, 99) - percentileMicros(direct, 99),
        percentileMicros(entry, 99.9) - percentileMicros(direct, 99.9));
  }

  private static long percentileMicros(Histogram histogram, double percentile) {
    return TimeUnit.NANOSECONDS.toMicros(histogram.getValueAtPercentile(percentile));
  }

  private static void publishTeamSettings(InetSocketAddress platform, List<TargetStandin> targets)
      throws IOException {
    String list =
        IntStream.range(0, targets.size())
            .mapToObj(
                i -> "target-%d=127.0.0.1:%d@a".formatted(i, targets.get(i).address().getPort()))
            .collect(Collectors.joining(", "));
    String content =
        """
        [team]
        name = bench
        [organisation load]
        rate = 100000
        burst = 100000
        [key load]
        organisation = load
        sha256 = %s
        [pool work]
        floor = 0.5
        slots = 4
        targets = %s
        [route work]
        path = /bench/work
        pool = work
        methods = GET
        idempotent = GET
        organisations = *
        timeout-ms = 10000
        """
            .formatted(KeyHash.of(KEY).hex(), list);
    byte[] record =
        ControlRecordCodec.encode(
            new ControlRecord.Edit("bench-1", "/teams/bench", -1, "bench", content));
    try (HttpConnection connection = new HttpConnection(platform)) {
      int status = connection.post("/streams/control/records", record);
      if (status != HTTP_OK) {
        throw new IOException("the platform stand-in responded with status " + status);
      }
    }
  }

  private static Process startEntry(InetSocketAddress platform, InetSocketAddress callers)
      throws IOException {
    Path settings = Files.createTempFile("entry", ".ini");
    settings.toFile().deleteOnExit();
    Files.writeString(
        settings,
        """
        [instance]
        id = entry-1
        failure-domain = a
        [listen]
        callers = 127.0.0.1:%d
        peers = 127.0.0.1:%d
        operations = 127.0.0.1:%d
        [platform]
        address = 127.0.0.1:%d
        """
            .formatted(
                callers.getPort(),
                freeAddress().getPort(),
                freeAddress().getPort(),
                platform.getPort()));
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx256m",
            "-cp",
            System.getProperty("java.class.path"),
            "org.bergamotcross.entry.EntryMain",
            "--settings",
            settings.toString())
        .redirectErrorStream(true)
        .redirectOutput(Path.of("target", "path-latency-entry.log").toFile())
        .start();
  }

  private static void awaitServing(InetSocketAddress callers) throws InterruptedException {
    long limit = System.nanoTime() + START_TIMEOUT.toNanos();
    while (System.nanoTime() < limit) {
      try (HttpConnection connection = new HttpConnection(callers)) {
        if (connection.get("/bench/work") == HTTP_OK) {
          return;
        }
      } catch (IOException e) {
        // The instance does not listen yet.
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException(
        "the instance did not serve a request within "
            + START_TIMEOUT
            + "; see target/path-latency-entry.log");
  }

  private static InetSocketAddress freeAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
  }

  private static Option numericOption(String name, String description) {
    return Option.builder().longOpt(name).hasArg().argName("N").desc(description).get();
  }

  private static int intValue(CommandLine line, String name, int defaultValue) {
    return Optional.ofNullable(line.getOptionValue(name))
        .map(Integer::parseInt)
        .orElse(defaultValue);
  }

  /** A minimal HTTP connection, whose overhead is the same for both loads. */
  private static final class HttpConnection implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    HttpConnection(InetSocketAddress address) throws IOException {
      socket = new Socket(address.getAddress(), address.getPort());
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(MAX_LATENCY_NANOS));
      in = new BufferedInputStream(socket.getInputStream());
    }

    int get(String path) throws IOException {
      return exchange("GET " + path + " HTTP/1.1\r\nHost: bench\r\nX-Api-Key: " + KEY, new byte[0]);
    }

    int post(String path, byte[] body) throws IOException {
      return exchange(
          "POST " + path + " HTTP/1.1\r\nHost: bench\r\nContent-Length: " + body.length, body);
    }

    private int exchange(String head, byte[] body) throws IOException {
      byte[] start = (head + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
      byte[] all = new byte[start.length + body.length];
      System.arraycopy(start, 0, all, 0, start.length);
      System.arraycopy(body, 0, all, start.length, body.length);
      socket.getOutputStream().write(all);
      String response = readHead();
      in.skipNBytes(contentLength(response));
      return Integer.parseInt(response.substring(9, 12));
    }

    private String readHead() throws IOException {
      StringBuilder head = new StringBuilder(256);
      while (!endsWithBlankLine(head)) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("the connection was closed before the end of the response head");
        }
        head.append((char) next);
      }
      return head.toString();
    }

    private static boolean endsWithBlankLine(StringBuilder head) {
      int length = head.length();
      return length >= 4 && head.substring(length - 4).equals("\r\n\r\n");
    }

    private static long contentLength(String head) {
      return head.lines()
          .filter(line -> line.regionMatches(true, 0, "content-length:", 0, 15))
          .mapToLong(line -> Long.parseLong(line.substring(15).strip()))
          .findFirst()
          .orElse(0);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
