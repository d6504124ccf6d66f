package org.bergamotcross.entry.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.entry.platform.PlatformClient.AppendResult;
import org.bergamotcross.entry.platform.PlatformClient.ListResult;
import org.bergamotcross.entry.platform.PlatformClient.PlatformInstance;
import org.bergamotcross.entry.platform.PlatformClient.ReadResult;
import org.bergamotcross.standin.FreePorts;
import org.bergamotcross.standin.PlatformFault;
import org.bergamotcross.standin.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against misinterpreting a response of the platform or the lack of one. */
class PekkoPlatformClientTest {
  private static final Duration NO_LONG_POLL = Duration.ZERO;

  private final PlatformStandin platform = PlatformStandin.builder().start();
  private final PlatformClient client =
      PekkoPlatformClient.withOwnActorSystem(platform.address(), "tester");

  @AfterEach
  void stop() {
    client.close();
    platform.close();
  }

  private static <T> T await(CompletionStage<T> stage) throws Exception {
    return stage.toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  private AppendResult append(String text) throws Exception {
    return await(client.append("control", text.getBytes(UTF_8)));
  }

  private ReadResult read(long from) throws Exception {
    return await(client.read("control", from, 10, NO_LONG_POLL));
  }

  @Nested
  class Records {
    @Test
    void areAppendedAndReadBackUnderTheNameOfTheClient() throws Exception {
      assertThat(append("one")).isEqualTo(new AppendResult.Appended(0));
      assertThat(append("two")).isEqualTo(new AppendResult.Appended(1));
      ReadResult.Page page = (ReadResult.Page) read(1);
      assertThat(page.earliest()).isEqualTo(0);
      assertThat(page.next()).isEqualTo(2);
      assertThat(page.records()).hasSize(1);
      assertThat(new String(page.records().get(0).data(), UTF_8)).isEqualTo("two");
      assertThat(platform.history("control").get(0).client().get()).isEqualTo("tester");
    }

    @Test
    void areReturnedByALongPoll() throws Exception {
      CompletionStage<ReadResult> read = client.read("control", 0, 10, Duration.ofSeconds(10));
      append("late");
      assertThat(((ReadResult.Page) await(read)).records()).hasSize(1);
    }

    @Test
    void thatAreNotRetainedAreGone() throws Exception {
      append("one");
      append("two");
      platform.setRetention(1);
      assertThat(read(0)).isEqualTo(new ReadResult.NotRetained(1));
    }
  }

  @Nested
  class Failures {
    @Test
    void refusedByThePlatformAreNotAppended() throws Exception {
      platform.injectFault(new PlatformFault.Outage(false));
      assertThat(append("one")).isInstanceOf(AppendResult.Unavailable.class);
      assertThat(read(0)).isInstanceOf(ReadResult.Unavailable.class);
      platform.injectFault(new PlatformFault.None());
      assertThat(append("two")).isEqualTo(new AppendResult.Appended(0));
    }

    @Test
    void toConnectAreNotAppended() throws Exception {
      try (PlatformClient unreachable =
          PekkoPlatformClient.withOwnActorSystem(closedPort(), "tester")) {
        assertThat(await(unreachable.append("control", new byte[] {1})))
            .isInstanceOf(AppendResult.Unavailable.class);
      }
    }

    // The record was appended although the response was lost; a retry would append it twice.
    @Test
    void toRespondLeaveTheOutcomeUnknownAndAreNotRetried() throws Exception {
      platform.injectFault(new PlatformFault.LostResponse());
      assertThat(append("one")).isInstanceOf(AppendResult.OutcomeUnknown.class);
      assertThat(platform.history("control")).hasSize(1);
    }

    @Test
    void thatBreakTheConnectionLeaveTheOutcomeUnknown() throws Exception {
      platform.injectFault(new PlatformFault.Outage(true));
      assertThat(append("one")).isInstanceOf(AppendResult.OutcomeUnknown.class);
      platform.injectFault(new PlatformFault.None());
      assertThat(append("two")).isInstanceOf(AppendResult.Appended.class);
    }
  }

  @Nested
  class InstanceList {
    @Test
    void showsKindAndState() throws Exception {
      platform.registerInstance(
          new org.bergamotcross.standin.InstanceListEntry(
              "t1", "target", "leaving", "127.0.0.1:9001", "north"));
      PlatformInstance expected =
          new PlatformInstance(
              "t1",
              PlatformInstance.Kind.TARGET,
              PlatformInstance.State.LEAVING,
              "127.0.0.1:9001",
              "north");
      assertThat(((ListResult.Listed) await(client.listInstances())).instances())
          .containsExactly(expected);
    }
  }

  private static InetSocketAddress closedPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
  }
}
