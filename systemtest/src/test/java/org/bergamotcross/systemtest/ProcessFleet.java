package org.bergamotcross.systemtest;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.kernel.Closer;
import org.bergamotcross.standin.FreePorts;
import org.bergamotcross.standin.PlatformStandin;
import org.bergamotcross.standin.TargetStandin;

/**
 * A fleet for tests: a platform stand-in and target stand-ins inside the test process, and entry
 * instances as child processes.
 */
final class ProcessFleet implements AutoCloseable {
  static final String KEY = "key-of-the-test-organisation";
  static final String SECOND_KEY = "second-key-of-the-test-organisation";

  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);
  private static final String CONTROL_STREAM = "control";

  private final Closer closer = new Closer();
  private final Path directory;
  private final EntryProcess.Options options;
  private final PlatformStandin platform;
  private final List<TargetStandin> targets = new ArrayList<>();
  private final List<EntryProcess> entries = new ArrayList<>();
  private final List<Integer> peerPorts = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private long settingsVersion = -1;

  private ProcessFleet(Path directory, EntryProcess.Options options) {
    this.directory = directory;
    this.options = options;
    this.platform = closer.register("platform", PlatformStandin.builder().start());
  }

  /**
   * Starts a fleet and waits until all instances serve requests with the published settings.
   *
   * @param targetCount the number of targets, all in one pool
   * @param entryCount the number of entry instances, each in a failure domain of its own
   * @param rate the rate limit of the organisation, in requests per second
   * @param burst the burst size of the organisation, in requests
   */
  static ProcessFleet start(int targetCount, int entryCount, double rate, double burst)
      throws Exception {
    return start(targetCount, entryCount, rate, burst, EntryProcess.Options.DEFAULT);
  }

  /** Starts a fleet whose processes get the options of the test. */
  static ProcessFleet start(
      int targetCount, int entryCount, double rate, double burst, EntryProcess.Options options)
      throws Exception {
    ProcessFleet fleet =
        new ProcessFleet(Files.createTempDirectory("bergamotcross-fleet"), options);
    for (int i = 0; i < targetCount; i++) {
      fleet.targets.add(
          fleet.closer.register("target", TargetStandin.builder("target-" + i).start()));
    }
    for (int i = 0; i < entryCount; i++) {
      fleet.peerPorts.add(FreePorts.next());
    }
    for (int i = 0; i < entryCount; i++) {
      fleet.entries.add(fleet.startEntry(i));
    }
    fleet.publishTeamSettings(rate, burst);
    for (EntryProcess entry : fleet.entries) {
      fleet.awaitServing(entry);
    }
    return fleet;
  }

  private EntryProcess startEntry(int index) throws IOException {
    List<String> seeds = peerPorts.stream().map(port -> "127.0.0.1:" + port).toList();
    return closer.register(
        "entry-" + index,
        EntryProcess.start(
            directory,
            "entry-" + index,
            "d" + index,
            platform.address().getPort(),
            peerPorts.get(index),
            String.join(", ", seeds),
            options));
  }

  /** Starts a new process under the same instance id, without any state of the previous one. */
  EntryProcess restart(int index) throws IOException {
    EntryProcess entry = startEntry(index);
    entries.set(index, entry);
    return entry;
  }

  /** Publishes the settings of the only team through the control log. */
  void publishTeamSettings(double rate, double burst) {
    ControlRecord.Edit edit =
        new ControlRecord.Edit(
            "edit-" + platform.history(CONTROL_STREAM).size(),
            "/teams/team",
            settingsVersion,
            "test",
            teamSettings(rate, burst));
    settingsVersion = appendControlRecord(edit).orElseThrow();
  }

  void withdrawKey(String key) {
    appendControlRecord(new ControlRecord.Withdraw("withdraw-" + key, KeyHash.of(key)));
  }

  private Optional<Long> appendControlRecord(ControlRecord record) {
    return platform.append(
        CONTROL_STREAM, new String(ControlRecordCodec.encode(record), StandardCharsets.UTF_8));
  }

  private String teamSettings(double rate, double burst) {
    StringBuilder targetList = new StringBuilder();
    for (int i = 0; i < targets.size(); i++) {
      targetList
          .append(i == 0 ? "" : ", ")
          .append(
              "target-%d=127.0.0.1:%d@d%d".formatted(i, targets.get(i).address().getPort(), i % 3));
    }
    return """
        [team]
        name = team
        [organisation customer]
        rate = %s
        burst = %s
        [key first]
        organisation = customer
        sha256 = %s
        [key second]
        organisation = customer
        sha256 = %s
        [pool work]
        floor = 0.5
        slots = 4
        targets = %s
        [route orders]
        path = /team/orders
        pool = work
        methods = GET, POST
        idempotent = GET
        organisations = *
        timeout-ms = 10000
        """
        .formatted(rate, burst, KeyHash.of(KEY).hex(), KeyHash.of(SECOND_KEY).hex(), targetList);
  }

  List<EntryProcess> entries() {
    return List.copyOf(entries);
  }

  PlatformStandin platform() {
    return platform;
  }

  /** Returns the target that has started the most requests; at low load, some get none. */
  TargetStandin targetInUse() {
    return target(indexOfTargetInUse());
  }

  /** Returns the index of {@link #targetInUse}. */
  int indexOfTargetInUse() {
    int index =
        IntStream.range(0, targets.size())
            .boxed()
            .max(Comparator.comparingLong(i -> target(i).executions().totalStarted()))
            .orElseThrow();
    assertWithMessage("requests of the most used target")
        .that(target(index).executions().totalStarted())
        .isGreaterThan(0L);
    return index;
  }

  TargetStandin target(int index) {
    return targets.get(index);
  }

  EntryProcess entry(int index) {
    return entries.get(index);
  }

  /** Returns how often the targets executed requests with the given idempotency key. */
  long executionCount(String idempotencyKey) {
    return targets.stream()
        .flatMap(target -> target.executions().retained().stream())
        .filter(execution -> execution.idempotencyKey().equals(Optional.of(idempotencyKey)))
        .count();
  }

  /** Returns the number of requests that the targets executed. */
  long executionCount() {
    return targets.stream().mapToLong(target -> target.executions().totalStarted()).sum();
  }

  void awaitServing(EntryProcess entry) throws Exception {
    Await.until(entry.id() + " serves", START_TIMEOUT, () -> get(entry, KEY).isOk());
  }

  CallerResponse get(EntryProcess entry, String key) throws InterruptedException {
    return await(getAsync(entry, key));
  }

  /** Sends a POST request, which is not idempotent, with an idempotency key. */
  CompletableFuture<CallerResponse> postOrder(EntryProcess entry, String idempotencyKey) {
    return postOrder(entry, "/team/orders", idempotencyKey);
  }

  CompletableFuture<CallerResponse> postOrder(
      EntryProcess entry, String path, String idempotencyKey) {
    return sendAsync(
        requestBuilder(entry, path, KEY)
            .header("Idempotency-Key", idempotencyKey)
            .POST(HttpRequest.BodyPublishers.ofString("order"))
            .build());
  }

  CompletableFuture<CallerResponse> getAsync(EntryProcess entry, String key) {
    return sendAsync(requestBuilder(entry, "/team/orders", key).GET().build());
  }

  private static HttpRequest.Builder requestBuilder(EntryProcess entry, String path, String key) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.callerPort() + path))
        .timeout(REQUEST_TIMEOUT)
        .header("Authorization", "Bearer " + key);
  }

  private CompletableFuture<CallerResponse> sendAsync(HttpRequest request) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(ProcessFleet::toCallerResponse)
        .exceptionally(failure -> CallerResponse.CONNECTION_FAILED);
  }

  private static CallerResponse toCallerResponse(HttpResponse<String> response) {
    return new CallerResponse(
        response.statusCode(),
        response.headers().firstValue("X-Bergamotcross-Refusal").orElse(""),
        response.headers().firstValue("X-Bergamotcross-Outcome").orElse(""),
        response.body());
  }

  static CallerResponse await(CompletableFuture<CallerResponse> response)
      throws InterruptedException {
    try {
      return response.get();
    } catch (java.util.concurrent.ExecutionException e) {
      return CallerResponse.CONNECTION_FAILED;
    }
  }

  @Override
  public void close() {
    closer.close();
  }
}
