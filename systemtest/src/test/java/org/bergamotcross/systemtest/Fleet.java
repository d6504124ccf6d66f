package org.bergamotcross.systemtest;

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
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.kernel.Closer;
import org.bergamotcross.standin.FreePorts;
import org.bergamotcross.standin.PlatformStandin;
import org.bergamotcross.standin.TargetStandin;

/** A platform, targets and entry instances; the instances are processes of their own. */
final class Fleet implements AutoCloseable {
  static final String KEY = "key-of-the-test-organisation";
  static final String SECOND_KEY = "second-key-of-the-test-organisation";

  private static final Duration START_LIMIT = Duration.ofSeconds(30);
  private static final Duration REQUEST_LIMIT = Duration.ofSeconds(15);
  private static final String STREAM = "control";

  private final Closer closer = new Closer();
  private final Path directory;
  private final PlatformStandin platform;
  private final List<TargetStandin> targets = new ArrayList<>();
  private final List<EntryProcess> entries = new ArrayList<>();
  private final List<Integer> peerPorts = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private long version = -1;

  private Fleet(Path directory) {
    this.directory = directory;
    this.platform = closer.register("platform", PlatformStandin.builder().start());
  }

  /**
   * Starts a fleet whose instances have the settings in force.
   *
   * @param targetCount the number of targets, all in one pool
   * @param entryCount the number of instances, each one in its own failure domain
   * @param rate the rate of the organisation
   * @param burst the burst of the organisation
   */
  static Fleet start(int targetCount, int entryCount, double rate, double burst) throws Exception {
    Fleet fleet = new Fleet(Files.createTempDirectory("bergamotcross-fleet"));
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
    fleet.publish(rate, burst);
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
            String.join(", ", seeds)));
  }

  /** Starts an instance anew under the same id, with nothing remembered. */
  EntryProcess restart(int index) throws IOException {
    EntryProcess entry = startEntry(index);
    entries.set(index, entry);
    return entry;
  }

  /** Publishes the settings of the only team. */
  void publish(double rate, double burst) {
    ControlRecord.Edit edit =
        new ControlRecord.Edit(
            "edit-" + platform.history(STREAM).size(),
            "/teams/team",
            version,
            "test",
            team(rate, burst));
    version = append(edit).orElseThrow();
  }

  void withdraw(String key) {
    append(new ControlRecord.Withdraw("withdraw-" + key, KeyHash.of(key)));
  }

  private Optional<Long> append(ControlRecord record) {
    return platform.append(
        STREAM, new String(ControlRecordCodec.encode(record), StandardCharsets.UTF_8));
  }

  private String team(double rate, double burst) {
    StringBuilder list = new StringBuilder();
    for (int i = 0; i < targets.size(); i++) {
      list.append(i == 0 ? "" : ", ")
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
        .formatted(rate, burst, KeyHash.of(KEY).hex(), KeyHash.of(SECOND_KEY).hex(), list);
  }

  List<EntryProcess> entries() {
    return List.copyOf(entries);
  }

  PlatformStandin platform() {
    return platform;
  }

  TargetStandin target(int index) {
    return targets.get(index);
  }

  EntryProcess entry(int index) {
    return entries.get(index);
  }

  /** Returns how often the targets ran a request under an idempotency key. */
  long executions(String idempotencyKey) {
    return targets.stream()
        .flatMap(target -> target.executions().retained().stream())
        .filter(execution -> execution.idempotencyKey().equals(Optional.of(idempotencyKey)))
        .count();
  }

  /** Returns how many requests the targets ran. */
  long executions() {
    return targets.stream().mapToLong(target -> target.executions().totalStarted()).sum();
  }

  void awaitServing(EntryProcess entry) throws Exception {
    Await.until(entry.id() + " serves", START_LIMIT, () -> get(entry, KEY).isAnswered());
  }

  Reply get(EntryProcess entry, String key) throws InterruptedException {
    return await(getLater(entry, key));
  }

  /** Sends a non-idempotent request with an idempotency key. */
  CompletableFuture<Reply> order(EntryProcess entry, String idempotencyKey) {
    return order(entry, "/team/orders", idempotencyKey);
  }

  CompletableFuture<Reply> order(EntryProcess entry, String path, String idempotencyKey) {
    return send(
        request(entry, path, KEY)
            .header("Idempotency-Key", idempotencyKey)
            .POST(HttpRequest.BodyPublishers.ofString("order"))
            .build());
  }

  CompletableFuture<Reply> getLater(EntryProcess entry, String key) {
    return send(request(entry, "/team/orders", key).GET().build());
  }

  private static HttpRequest.Builder request(EntryProcess entry, String path, String key) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.callerPort() + path))
        .timeout(REQUEST_LIMIT)
        .header("Authorization", "Bearer " + key);
  }

  private CompletableFuture<Reply> send(HttpRequest request) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(Fleet::reply)
        .exceptionally(failure -> Reply.BROKEN);
  }

  private static Reply reply(HttpResponse<String> response) {
    return new Reply(
        response.statusCode(),
        response.headers().firstValue("X-Bergamotcross-Refusal").orElse(""),
        response.headers().firstValue("X-Bergamotcross-Outcome").orElse(""),
        response.body());
  }

  static Reply await(CompletableFuture<Reply> reply) throws InterruptedException {
    try {
      return reply.get();
    } catch (java.util.concurrent.ExecutionException e) {
      return Reply.BROKEN;
    }
  }

  @Override
  public void close() {
    closer.close();
  }
}
