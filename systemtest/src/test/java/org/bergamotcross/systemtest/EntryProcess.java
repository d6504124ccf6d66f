package org.bergamotcross.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.bergamotcross.standin.FreePorts;

/** An entry instance as a child process that a test can kill, pause, resume and stop. */
final class EntryProcess implements AutoCloseable {
  private static final long EXIT_TIMEOUT_SECONDS = 40;

  /**
   * What a test sets for a process.
   *
   * @param jvmArguments the arguments of the JVM
   * @param sections additional sections of the settings file
   */
  record Options(List<String> jvmArguments, String sections) {
    static final Options DEFAULT = new Options(List.of("-Xmx256m", "-XX:TieredStopAtLevel=1"), "");
  }

  private final String id;
  private final int callerPort;
  private final int operationsPort;
  private final Path log;
  private final Process process;

  private EntryProcess(String id, int callerPort, int operationsPort, Path log, Process process) {
    this.id = id;
    this.callerPort = callerPort;
    this.operationsPort = operationsPort;
    this.log = log;
    this.process = process;
  }

  /**
   * Starts an instance on free ports.
   *
   * @param directory the directory for the settings file and the log file
   * @param id the instance id
   * @param failureDomain the failure domain
   * @param platformPort the port of the platform stand-in
   * @param peerPort the port on which the instance listens for its peers
   * @param seeds the comma-separated addresses of its seed peers
   * @param options the arguments and settings of the test
   */
  static EntryProcess start(
      Path directory,
      String id,
      String failureDomain,
      int platformPort,
      int peerPort,
      String seeds,
      Options options)
      throws IOException {
    int callerPort = FreePorts.next();
    int operationsPort = FreePorts.next();
    Path settings = directory.resolve(id + ".ini");
    Files.writeString(
        settings,
        """
        [instance]
        id = %s
        failure-domain = %s
        [listen]
        callers = 127.0.0.1:%d
        peers = 127.0.0.1:%d
        operations = 127.0.0.1:%d
        [platform]
        address = 127.0.0.1:%d
        [peers]
        seeds = %s
        """
            .formatted(id, failureDomain, callerPort, peerPort, operationsPort, platformPort, seeds)
            .concat(options.sections()));
    Path log = directory.resolve(id + ".log");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options.jvmArguments());
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            "org.bergamotcross.entry.EntryMain",
            "--settings",
            settings.toString()));
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    return new EntryProcess(id, callerPort, operationsPort, log, process);
  }

  String id() {
    return id;
  }

  int callerPort() {
    return callerPort;
  }

  int operationsPort() {
    return operationsPort;
  }

  /** Reads the lines that the process has logged so far. */
  List<String> readLogLines() throws IOException {
    return Files.readAllLines(log);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the largest resident memory that the process has had, in KiB. */
  long peakMemoryKib() throws IOException {
    return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
        .filter(line -> line.startsWith("VmHWM:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the number of file descriptors that the process has open. */
  long openDescriptors() throws IOException {
    try (Stream<Path> descriptors =
        Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      return descriptors.count();
    }
  }

  /** Kills the process at once with SIGKILL, without a graceful shutdown. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  void pause() throws IOException, InterruptedException {
    sendSignal("STOP");
  }

  void resume() throws IOException, InterruptedException {
    sendSignal("CONT");
  }

  /** Requests a graceful shutdown with SIGTERM, without waiting for it. */
  void terminate() throws IOException, InterruptedException {
    sendSignal("TERM");
  }

  /** Waits until the process has exited and returns its exit code. */
  int awaitExit() throws InterruptedException {
    if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException(id + " did not exit within " + EXIT_TIMEOUT_SECONDS + " s");
    }
    return process.exitValue();
  }

  private void sendSignal(String name) throws IOException, InterruptedException {
    Process kill =
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start();
    kill.waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
