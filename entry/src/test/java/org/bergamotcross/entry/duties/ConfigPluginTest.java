package org.bergamotcross.entry.duties;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.entry.ActorSystemPlugin;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.StatusSource;
import org.bergamotcross.entry.StatusSource.Status;
import org.bergamotcross.entry.peer.ExchangePlugin;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.bergamotcross.kernel.TimeSource;
import org.bergamotcross.standin.FaultScope;
import org.bergamotcross.standin.FreePorts;
import org.bergamotcross.standin.PlatformFault;
import org.bergamotcross.standin.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a config plug-in that fails to deliver changes between processes: runs three
 * instances over real sockets with the platform stand-in.
 */
class ConfigPluginTest {
  private static final Duration AWAIT_LIMIT = Duration.ofSeconds(30);
  private static final KeyHash KEY = new KeyHash("ab".repeat(32));

  private final PlatformStandin platform = PlatformStandin.builder().start();
  private final Map<String, Kernel> kernels = new HashMap<>();
  private final Map<String, Integer> ports = new HashMap<>();
  private final Object changed = new Object();

  private void startInstance(String id) throws PluginStartException {
    List<Plugin> plugins =
        List.of(new ActorSystemPlugin(), new ExchangePlugin(), new ConfigPlugin());
    String text =
        """
        [instance]
        id = %s
        failure-domain = d-%s
        [listen]
        peers = 127.0.0.1:%d
        [platform]
        address = 127.0.0.1:%d
        """
            .formatted(
                id,
                id,
                ports.computeIfAbsent(id, i -> FreePorts.next()),
                platform.address().getPort());
    SettingsResult settings =
        Settings.parse(id + ".ini", text, Kernel.settingsOf(plugins), Kernel.rulesOf(plugins));
    Kernel kernel =
        new Kernel(plugins, ((SettingsResult.Loaded) settings).settings(), TimeSource.system());
    kernel.context().subscribe(Broadcasts.CONFIGURATION, c -> notifyChange());
    kernel.context().subscribe(Broadcasts.FRESHNESS, f -> notifyChange());
    kernel.start();
    kernels.put(id, kernel);
  }

  private void notifyChange() {
    synchronized (changed) {
      changed.notifyAll();
    }
  }

  private void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + AWAIT_LIMIT.toNanos();
    synchronized (changed) {
      while (!condition.getAsBoolean()) {
        long left = (end - System.nanoTime()) / 1_000_000;
        assertWithMessage(what).that(left).isGreaterThan(0);
        // The timeout is needed because a broadcast wakes the test before the status of the same
        // message is set.
        changed.wait(Math.min(left, 100));
      }
    }
  }

  private Status status(String id) {
    return kernels.get(id).context().service(StatusSource.class).orElseThrow().status();
  }

  private boolean isFresh(String id) {
    return TimeSource.system().now().isBefore(status(id).freshness().validUntil());
  }

  private boolean allHave(long offset) {
    return kernels.keySet().stream().allMatch(id -> status(id).offset() >= offset);
  }

  private long append(ControlRecord record) {
    String text = new String(ControlRecordCodec.encode(record), UTF_8);
    return platform.append("control", text).orElseThrow();
  }

  private long records(String text) {
    return platform.history("control").stream().filter(r -> r.text().contains(text)).count();
  }

  @BeforeEach
  void start() throws Exception {
    for (String id : List.of("a", "b", "c")) {
      startInstance(id);
    }
    await(
        "three members everywhere",
        () -> kernels.keySet().stream().allMatch(id -> status(id).members().list().size() == 3));
    await(
        "echoes from all peers",
        () -> kernels.keySet().stream().allMatch(id -> status(id).peerOffsets().size() == 2));
  }

  @AfterEach
  void stop() {
    kernels.values().forEach(Kernel::close);
    platform.close();
  }

  @Nested
  class Changes {
    @Test
    void reachAllInstances() throws InterruptedException {
      long offset = append(new ControlRecord.Withdraw("w", KEY));
      await("the withdrawal everywhere", () -> allHave(offset));
      assertThat(isFresh("a")).isTrue();
    }

    // One instance can't read the log; its peers pass the record on.
    @Test
    void reachAnInstanceThatCannotReadTheLog() throws InterruptedException {
      platform.injectFault(new PlatformFault.Outage(false), FaultScope.forInstances("c"));
      long offset = append(new ControlRecord.Withdraw("w", KEY));
      await("the withdrawal everywhere", () -> allHave(offset));
      await("freshness from peers", () -> isFresh("c"));
    }
  }

  @Nested
  class Outage {
    @Test
    void leavesTheInstancesFreshThroughTheirPeers() throws InterruptedException {
      platform.injectFault(new PlatformFault.Outage(false));
      await(
          "freshness from peers",
          () ->
              kernels.keySet().stream()
                  .allMatch(
                      id ->
                          isFresh(id)
                              && status(id).freshness().source()
                                  == Broadcasts.Freshness.Source.PEERS));
    }
  }

  @Nested
  class Restart {
    @Test
    void pastTheRetentionReachesTheSameState() throws Exception {
      long offset = append(new ControlRecord.Withdraw("w", KEY));
      // The retention must not drop a record that no instance has read.
      await("the withdrawal everywhere", () -> allHave(offset));
      platform.setRetention(8);
      for (int i = 0; i < 8; i++) {
        append(new ControlRecord.Withdraw("w" + i, new KeyHash(String.format("%064x", i))));
      }
      await("a snapshot", () -> records("\"snapshot\"") > 0);
      kernels.remove("c").close();
      startInstance("c");
      long incarnation = status("c").incarnation();
      await(
          "the new incarnation everywhere",
          () ->
              kernels.keySet().stream()
                  .allMatch(
                      id ->
                          status(id).members().list().stream()
                              .anyMatch(m -> m.incarnation() == incarnation)));
      await("the same offset", () -> status("c").offset() >= status("a").offset());
      assertThat(status("c").scanning()).isFalse();
    }

    // The response to the append is lost although the record is in the log.
    @Test
    void withLostAnswersAppendsTheJoinOnce() throws Exception {
      platform.injectFault(
          new PlatformFault.LostResponse(),
          new FaultScope(FaultScope.Operation.APPENDS, Set.of("c")));
      kernels.remove("c").close();
      long before = records("\"join\"");
      startInstance("c");
      await(
          "membership",
          () ->
              status("c").members().list().stream()
                  .anyMatch(m -> m.incarnation() == status("c").incarnation()));
      assertThat(records("\"join\"")).isEqualTo(before + 1);
    }
  }

  @Nested
  class PlannedStop {
    @Test
    void endsTheMembership() throws InterruptedException {
      kernels
          .get("c")
          .context()
          .publish(
              Broadcasts.SHUTDOWN,
              new Broadcasts.Shutdown(TimeSource.system().now().plus(Duration.ofSeconds(30))));
      await("two members at a", () -> status("a").members().list().size() == 2);
      assertThat(records("\"leave\"")).isEqualTo(1);
    }
  }
}
