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
 * Measures the latency that one entry instance adds, against the same targets in the same run.
 *
 * <p>The instance is a process of its own; targets, platform and callers run in this one. Requests
 * go out at a fixed rate, half of them directly to the targets. A request that starts late because
 * the one before it took long is timed from when it was due.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.bench.PathLatency --rate 500 --seconds 30
 * }</pre>
 */
public final class PathLatency {
  private static final int TARGETS = 6;
  private static final int CALLERS = 16;
  private static final int OK = 200;
  private static final String KEY = "bench-key-0123456789";
  private static final long MAX_LATENCY_NS = TimeUnit.SECONDS.toNanos(20);
  private static final Duration START_LIMIT = Duration.ofSeconds(30);

  private final int rate;
  private final Duration length;
  private final Duration warmUp;

  private PathLatency(int rate, Duration length, Duration warmUp) {
    this.rate = rate;
    this.length = length;
    this.warmUp = warmUp;
  }

  /**
   * Runs the measurement and prints one line for each way and one for the difference.
   *
   * @param arguments {@code --rate} requests/s for each way, {@code --seconds}, {@code --warm-up}
   * @throws Exception if a socket or the process of the instance fails
   */
  public static void main(String[] arguments) throws Exception {
    Options options =
        new Options()
            .addOption(number("rate", "requests per second for each way; default 500"))
            .addOption(number("seconds", "length of the measurement; default 30"))
            .addOption(number("warm-up", "seconds before the measurement; default 20"));
    try {
      CommandLine line = new DefaultParser().parse(options, arguments);
      new PathLatency(
              value(line, "rate", 500),
              Duration.ofSeconds(value(line, "seconds", 30)),
              Duration.ofSeconds(value(line, "warm-up", 20)))
          .run();
      System.exit(0);
    } catch (ParseException | NumberFormatException e) {
      System.err.println(e.getMessage() + "; use --rate N --seconds N --warm-up N");
      System.exit(2);
    }
  }

  private void run() throws Exception {
    List<TargetStandin> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      // The instance does not see the direct requests; slots for both keep targets from shedding.
      targets.add(
          TargetStandin.builder("target-" + i)
              .slots(2 * CALLERS)
              .workTime(Duration.ofMillis(5))
              .start());
    }
    try (PlatformStandin platform = PlatformStandin.builder().start()) {
      publish(platform.address(), targets);
      InetSocketAddress callers = freeAddress();
      Process entry = startEntry(platform.address(), callers);
      try {
        awaitAnswer(callers);
        List<InetSocketAddress> direct = targets.stream().map(TargetStandin::address).toList();
        measure(direct, List.of(callers), warmUp);
        Histogram[] measured = measure(direct, List.of(callers), length);
        print("direct", measured[0]);
        print("through-entry", measured[1]);
        printAdded(measured[0], measured[1]);
      } finally {
        entry.destroy();
        entry.waitFor();
        System.out.println("entry exit-code=" + entry.exitValue());
      }
    }
  }

  private Histogram[] measure(
      List<InetSocketAddress> direct, List<InetSocketAddress> entry, Duration time)
      throws Exception {
    Way straight = new Way(direct, time);
    Way through = new Way(entry, time);
    straight.join();
    through.join();
    return new Histogram[] {straight.merged(), through.merged()};
  }

  /** One way to the targets: callers with a connection each and a fixed rate. */
  private final class Way {
    private final List<Thread> threads = new ArrayList<>();
    private final List<Histogram> histograms = new ArrayList<>();

    Way(List<InetSocketAddress> addresses, Duration time) {
      long interval = TimeUnit.SECONDS.toNanos(1) * CALLERS / rate;
      long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
      for (int i = 0; i < CALLERS; i++) {
        Histogram histogram = new Histogram(MAX_LATENCY_NS, 3);
        histograms.add(histogram);
        InetSocketAddress address = addresses.get(i % addresses.size());
        long first = start + interval * i / CALLERS;
        Thread thread =
            new Thread(() -> call(address, first, interval, start + time.toNanos(), histogram));
        threads.add(thread);
        thread.start();
      }
    }

    void join() throws InterruptedException {
      for (Thread thread : threads) {
        thread.join();
      }
    }

    Histogram merged() {
      Histogram all = new Histogram(MAX_LATENCY_NS, 3);
      histograms.forEach(all::add);
      return all;
    }
  }

  private static void call(
      InetSocketAddress address, long first, long interval, long end, Histogram histogram) {
    try (Connection connection = new Connection(address)) {
      for (long due = first; due < end; due += interval) {
        long wait = due - System.nanoTime();
        if (wait > 0) {
          LockSupport.parkNanos(wait);
        }
        // A late wake-up of this thread is no latency of the path, a late answer before it is.
        long begin = wait > 0 ? System.nanoTime() : due;
        int status = connection.get("/bench/work");
        histogram.recordValue(System.nanoTime() - begin);
        if (status != OK) {
          throw new IllegalStateException(address + " answered " + status);
        }
      }
    } catch (IOException e) {
      throw new IllegalStateException("request to " + address + " failed", e);
    }
  }

  private static void print(String way, Histogram histogram) {
    System.out.printf(
        "way=%s requests=%d p50-us=%d p99-us=%d p99.9-us=%d max-us=%d%n",
        way,
        histogram.getTotalCount(),
        micros(histogram, 50),
        micros(histogram, 99),
        micros(histogram, 99.9),
        TimeUnit.NANOSECONDS.toMicros(histogram.getMaxValue()));
  }

  private static void printAdded(Histogram direct, Histogram entry) {
    System.out.printf(
        "added p50-us=%d p99-us=%d p99.9-us=%d%n",
        micros(entry, 50) - micros(direct, 50),
        micros(entry, 99) - micros(direct, 99),
        micros(entry, 99.9) - micros(direct, 99.9));
  }

  private static long micros(Histogram histogram, double percentile) {
    return TimeUnit.NANOSECONDS.toMicros(histogram.getValueAtPercentile(percentile));
  }

  private static void publish(InetSocketAddress platform, List<TargetStandin> targets)
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
    try (Connection connection = new Connection(platform)) {
      int status = connection.post("/streams/control/records", record);
      if (status != OK) {
        throw new IOException("the platform stand-in answered " + status);
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

  private static void awaitAnswer(InetSocketAddress callers) throws InterruptedException {
    long limit = System.nanoTime() + START_LIMIT.toNanos();
    while (System.nanoTime() < limit) {
      try (Connection connection = new Connection(callers)) {
        if (connection.get("/bench/work") == OK) {
          return;
        }
      } catch (IOException e) {
        // The instance is not listening yet.
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException(
        "the instance gave no answer within "
            + START_LIMIT
            + "; see target/path-latency-entry.log");
  }

  private static InetSocketAddress freeAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
  }

  private static Option number(String name, String description) {
    return Option.builder().longOpt(name).hasArg().argName("N").desc(description).get();
  }

  private static int value(CommandLine line, String name, int otherwise) {
    return Optional.ofNullable(line.getOptionValue(name)).map(Integer::parseInt).orElse(otherwise);
  }

  /** A plain HTTP connection, whose own cost is the same for both ways. */
  private static final class Connection implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    Connection(InetSocketAddress address) throws IOException {
      socket = new Socket(address.getAddress(), address.getPort());
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(MAX_LATENCY_NS));
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
      in.skipNBytes(length(response));
      return Integer.parseInt(response.substring(9, 12));
    }

    private String readHead() throws IOException {
      StringBuilder head = new StringBuilder(256);
      while (!endsWithBlankLine(head)) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("the connection was closed");
        }
        head.append((char) next);
      }
      return head.toString();
    }

    private static boolean endsWithBlankLine(StringBuilder head) {
      int length = head.length();
      return length >= 4 && head.substring(length - 4).equals("\r\n\r\n");
    }

    private static long length(String head) {
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
