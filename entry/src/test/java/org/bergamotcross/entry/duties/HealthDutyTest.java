package org.bergamotcross.entry.duties;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Members;
import org.bergamotcross.core.routing.HealthView;
import org.bergamotcross.core.routing.SendResult;
import org.bergamotcross.core.routing.TargetStatus;
import org.bergamotcross.entry.HealthMessage;
import org.bergamotcross.entry.PeerExchange;
import org.bergamotcross.kernel.ClockReading;
import org.bergamotcross.kernel.EventLog;
import org.bergamotcross.kernel.RingOfferResult;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Guards against a health duty that publishes statuses or sends evidence late, wrong or too often.
 */
class HealthDutyTest {
  private static final PoolId POOL = new PoolId("team/pool");
  private static final TargetStatus EJECTED =
      new TargetStatus.Unavailable(TargetStatus.Reason.EJECTED);
  private static final PeerExchange.Sender FIRST =
      new PeerExchange.Sender(new InstanceId("first"), 1);

  private final List<Record> sent = new ArrayList<>();
  private final List<HealthView> views = new ArrayList<>();
  private final List<HealthView> secondViews = new ArrayList<>();
  private final HealthDuty duty = duty("first", views, sent);
  private ClockReading now = ClockReading.ofMillis(10_000);

  private static HealthDuty duty(String id, List<HealthView> views, List<Record> sent) {
    return new HealthDuty(
        new InstanceId(id),
        new FailureDomain("d-" + id),
        new RecordingExchange(sent),
        views::add,
        new HealthReporter(new EventLog(new MetricRegistry())),
        ClockReading.ofMillis(10_000));
  }

  private record RecordingExchange(List<Record> sent) implements PeerExchange {
    @Override
    public <T extends Record> void handle(String kind, Class<T> type, Handler<T> handler) {}

    @Override
    public RingOfferResult send(InstanceId to, String kind, Record message) {
      return new RingOfferResult.Accepted();
    }

    @Override
    public void sendAll(String kind, Record message) {
      sent.add(message);
    }

    @Override
    public long incarnation() {
      return 1;
    }
  }

  private static TargetId id(int index) {
    return new TargetId("t" + index);
  }

  private static HealthEvent configured(int targets) {
    List<Target> list = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      list.add(new Target(id(i), "127.0.0.1", 9000 + i, new FailureDomain("d" + i % 3)));
    }
    Pool pool = new Pool(POOL, 0.5, 4, list);
    TeamSettings team = new TeamSettings("team", List.of(), List.of(), List.of(pool), List.of());
    return new HealthEvent.ConfigurationChanged(
        Configuration.of(1, Map.of("team", team), Set.of(), Members.NONE));
  }

  private void advance(HealthDuty any, Duration time) {
    ClockReading end = now.plus(time);
    while (now.isBefore(end)) {
      now = now.plus(HealthDuty.TICK_INTERVAL);
      any.onTick(now);
    }
  }

  private void succeed(int target) {
    duty.onMessage(new HealthMessage.AttemptStarted("ok" + target, POOL, id(target)), now);
    duty.onMessage(
        new HealthMessage.AttemptEnded(
            "ok" + target,
            POOL,
            id(target),
            new SendResult.Completed(200, false),
            Duration.ofMillis(20)),
        now);
  }

  private void stall() {
    succeed(1);
    succeed(2);
    duty.onMessage(new HealthMessage.AttemptStarted("r1", POOL, id(0)), now);
    advance(duty, Duration.ofMillis(550));
  }

  private <T> List<T> sent(Class<T> type) {
    return sent.stream().filter(type::isInstance).map(type::cast).toList();
  }

  @BeforeEach
  void configure() {
    duty.onMessage(configured(6), now);
  }

  @Nested
  class Views {
    // Guards against stalls that routing learns of late.
    @Test
    void arePublishedWhenAStatusChanges() {
      stall();
      assertThat(views).hasSize(1);
      assertThat(views.getLast().status(id(0))).isEqualTo(EJECTED);
    }

    // Guards against requests to leaving targets, also when their pool is configured later.
    @Test
    void showLeavingTargets() {
      duty.onMessage(new HealthEvent.LeavingTargetsChanged(Set.of(id(5), id(6))), now);
      duty.onMessage(configured(7), now);
      TargetStatus leaving = new TargetStatus.Unavailable(TargetStatus.Reason.DRAINING);
      assertThat(views.getLast().status(id(5))).isEqualTo(leaving);
      assertThat(views.getLast().status(id(6))).isEqualTo(leaving);
    }

    // Guards against statuses that remain after their pool was removed.
    @Test
    void forgetRemovedPools() {
      stall();
      duty.onMessage(new HealthEvent.ConfigurationChanged(Configuration.EMPTY), now);
      assertThat(views.getLast().statuses()).isEmpty();
    }
  }

  @Nested
  class Evidence {
    // Guards against peers that keep using a stalled target because the evidence waits for the next
    // heartbeat.
    @Test
    void isSentAtOnceAndThenRarely() {
      stall();
      assertThat(sent(EvidenceMessage.class)).hasSize(1);
      advance(duty, Duration.ofMillis(300));
      assertThat(sent(EvidenceMessage.class)).hasSize(1);
      advance(duty, Duration.ofSeconds(3));
      assertThat(sent(EvidenceMessage.class).size()).isAtMost(5);
    }

    // Guards against messages while there is nothing to report.
    @Test
    void isNotSentWhileAllIsWell() {
      succeed(1);
      advance(duty, Duration.ofSeconds(3));
      assertThat(sent(EvidenceMessage.class)).isEmpty();
    }

    // Guards against evidence that is lost or changed by the encoding.
    @Test
    void survivesMessagePackAndEjectsAtThePeer() throws IOException {
      stall();
      ObjectMapper mapper =
          new ObjectMapper(new MessagePackFactory()).registerModule(new Jdk8Module());
      EvidenceMessage message = sent(EvidenceMessage.class).getLast();
      byte[] bytes = mapper.writeValueAsBytes(message);
      EvidenceMessage decoded = mapper.readValue(bytes, EvidenceMessage.class);
      assertThat(decoded).isEqualTo(message);
      HealthDuty second = duty("second", secondViews, new ArrayList<>());
      second.onMessage(configured(6), now);
      second.onMessage(new HealthEvent.PeerReportReceived(decoded.toReport(FIRST)), now);
      advance(second, Duration.ofMillis(200));
      assertThat(secondViews.getLast().status(id(0))).isEqualTo(EJECTED);
    }
  }

  @Nested
  class InFlight {
    // Guards against peers that overload a target because they don't know each other's in-flight
    // requests.
    @Test
    void isSentEvery500MillisAndOnceWhenItEnds() {
      duty.onMessage(new HealthMessage.AttemptStarted("r1", POOL, id(0)), now);
      advance(duty, Duration.ofMillis(500));
      assertThat(sent(InFlightMessage.class).getLast().toAverages()).containsExactly(id(0), 1.0);
      duty.onMessage(
          new HealthMessage.AttemptEnded(
              "r1", POOL, id(0), new SendResult.Cancelled(), Duration.ofMillis(500)),
          now);
      advance(duty, Duration.ofSeconds(5));
      assertThat(sent(InFlightMessage.class)).hasSize(2);
      assertThat(sent(InFlightMessage.class).getLast().toAverages()).isEmpty();
    }
  }
}
