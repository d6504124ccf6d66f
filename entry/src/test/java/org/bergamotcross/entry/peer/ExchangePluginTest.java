package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.entry.ActorSystemPlugin;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.Kernel;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.bergamotcross.kernel.TimeSource;
import org.bergamotcross.standin.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Runs two exchange plug-ins over real sockets; the first is a seed of the second. */
class ExchangePluginTest {
  private static final long TIMEOUT_SECONDS = 20;

  record Note(String text, List<Double> shares) {}

  private final int firstPort = FreePorts.next();
  private final int secondPort = FreePorts.next();
  private final BlockingQueue<Broadcasts.HeartbeatEcho> echoes = new ArrayBlockingQueue<>(1000);
  private final BlockingQueue<String> notes = new ArrayBlockingQueue<>(1000);
  private Kernel first;
  private Kernel second;

  private static Kernel kernel(String id, int port, String seeds) {
    List<Plugin> plugins = List.of(new ActorSystemPlugin(), new ExchangePlugin());
    String text =
        "[instance]\nid = %s\nfailure-domain = d-%s\n[listen]\npeers = 127.0.0.1:%d\n%s"
            .formatted(id, id, port, seeds);
    SettingsResult result =
        Settings.parse(id + ".ini", text, Kernel.settingsOf(plugins), Kernel.rulesOf(plugins));
    return new Kernel(plugins, ((SettingsResult.Loaded) result).settings(), TimeSource.system());
  }

  private PeerExchange exchange(Kernel kernel) {
    return kernel.context().service(PeerExchange.class).orElseThrow();
  }

  @BeforeEach
  void start() throws PluginStartException {
    first = kernel("a", firstPort, "");
    second = kernel("b", secondPort, "[peers]\nseeds = 127.0.0.1:" + firstPort + "\n");
    first
        .context()
        .subscribe(Broadcasts.HEARTBEAT_ECHOES, message -> echoes.addAll(message.echoes()));
    first.start();
    second.start();
    exchange(first)
        .handle("note", Note.class, (from, note) -> notes.add(from.id() + ":" + note.text()));
  }

  @AfterEach
  void stop() {
    second.close();
    first.close();
  }

  @Nested
  class Heartbeats {
    @Test
    void areEchoedInBothDirectionsAfterOneSideConnects() throws InterruptedException {
      Broadcasts.HeartbeatEcho echo = echoes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(echo).isNotNull();
      assertThat(echo.peer().id()).isEqualTo(new InstanceId("b"));
      assertThat(echo.offset()).isEqualTo(-1);
    }

    // Guards against a peer that stays unreachable after it was replaced under the same id.
    @Test
    void resumeAfterThePeerRestarts() throws InterruptedException, PluginStartException {
      Broadcasts.HeartbeatEcho before = echoes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      second.close();
      second = kernel("b", secondPort, "[peers]\nseeds = 127.0.0.1:" + firstPort + "\n");
      second.start();
      long incarnation = exchange(second).incarnation();
      Broadcasts.HeartbeatEcho echo = echoes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      while (echo != null && echo.peer().incarnation() != incarnation) {
        echo = echoes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
      assertThat(echo).isNotNull();
      assertThat(before.peer().incarnation()).isNotEqualTo(incarnation);
    }
  }

  @Nested
  class Messages {
    @Test
    void reachTheRegisteredHandler() throws InterruptedException {
      echoes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      exchange(second).send(new InstanceId("a"), "note", new Note("hello", List.of(0.5)));
      assertThat(notes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("b:hello");
    }

    @Test
    void toTheOwnInstanceAreDeliveredLocally() throws InterruptedException {
      exchange(first).send(new InstanceId("a"), "note", new Note("self", List.of()));
      assertThat(notes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("a:self");
    }

    // Guards against a link that fails on a message kind that only a newer version knows.
    @Test
    void ofAnUnknownKindAreSkipped() throws InterruptedException {
      echoes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      exchange(second).send(new InstanceId("a"), "unknown", new Note("x", List.of()));
      exchange(second).send(new InstanceId("a"), "note", new Note("after", List.of()));
      assertThat(notes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("b:after");
    }
  }
}
