package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against instances that disagree on the relays, and against relays with too much work. */
class RelayPlanTest {
  private static final int LIMIT = 24;
  private static final int CAPACITY = 100;

  private final RelayPlan plan = new RelayPlan(LIMIT);

  private static Member member(int index, int domains) {
    return new Member(
        new InstanceId("entry-" + index),
        1,
        new FailureDomain("d" + index % domains),
        "host-" + index);
  }

  private static List<RelayPlan.Candidate> candidates(int size, int domains) {
    return IntStream.range(0, size)
        .mapToObj(i -> new RelayPlan.Candidate(member(i, domains), CAPACITY, true))
        .toList();
  }

  /** Replaces the candidates of some ids. */
  private static List<RelayPlan.Candidate> replace(
      List<RelayPlan.Candidate> candidates, Set<InstanceId> ids, int capacity, boolean eligible) {
    return candidates.stream()
        .map(
            c ->
                ids.contains(c.member().id())
                    ? new RelayPlan.Candidate(c.member(), capacity, eligible)
                    : c)
        .toList();
  }

  private static Set<InstanceId> ids(RelayView view) {
    return view.relays().stream().map(Member::id).collect(Collectors.toSet());
  }

  private static Map<FailureDomain, Long> countByDomain(List<Member> members) {
    return members.stream()
        .collect(Collectors.groupingBy(Member::failureDomain, Collectors.counting()));
  }

  private static Map<InstanceId, Long> countPrimaries(
      List<RelayPlan.Candidate> candidates, RelayView view) {
    return candidates.stream()
        .map(candidate -> view.primary(candidate.member(), id -> true))
        .flatMap(Optional::stream)
        .collect(Collectors.groupingBy(Member::id, Collectors.counting()));
  }

  @Nested
  @Group
  class Selection {
    // Guards against two sets of relays, because instances learned of each other in another order.
    @Property(tries = 200, seed = "61")
    void doesNotDependOnTheOrderOfTheInput(
        @ForAll @IntRange(min = 25, max = 150) int size,
        @ForAll @IntRange(min = 1, max = 5) int domains,
        @ForAll int seed) {
      Random random = new Random(seed);
      List<RelayPlan.Candidate> ordered =
          candidates(size, domains).stream()
              .map(
                  c ->
                      new RelayPlan.Candidate(c.member(), random.nextInt(3), random.nextInt(4) > 0))
              .toList();
      List<RelayPlan.Candidate> shuffled = new ArrayList<>(ordered);
      Collections.shuffle(shuffled, random);
      assertThat(new RelayPlan(LIMIT).update(shuffled))
          .isEqualTo(new RelayPlan(LIMIT).update(ordered));
    }

    // Guards against a failure domain whose loss takes all of the first readers or relays away.
    @Property(tries = 100, seed = "62")
    void takesTheFirstOfEachDomainBeforeTheSecondOfAny(
        @ForAll @IntRange(min = 25, max = 90) int size,
        @ForAll @IntRange(min = 1, max = 5) int domains) {
      List<Member> relays = new RelayPlan(LIMIT).update(candidates(size, domains)).relays();
      assertThat(relays).hasSize(2 * domains);
      assertThat(countByDomain(relays.subList(0, domains)).values()).doesNotContain(2L);
      assertThat(countByDomain(relays.subList(domains, 2 * domains)).values()).doesNotContain(2L);
    }

    // Guards against a small instance that becomes a relay and fails under the load.
    @Test
    void prefersCapacity() {
      Set<InstanceId> large =
          IntStream.of(7, 9, 11, 17, 20, 24, 29, 37)
              .mapToObj(i -> member(i, 4).id())
              .collect(Collectors.toSet());
      List<RelayPlan.Candidate> counted = replace(candidates(40, 4), large, 2 * CAPACITY, true);
      RelayView view = plan.update(counted);
      for (Map.Entry<FailureDomain, List<Member>> domain :
          view.relays().stream().collect(Collectors.groupingBy(Member::failureDomain)).entrySet()) {
        long available =
            counted.stream()
                .filter(c -> c.member().failureDomain().equals(domain.getKey()))
                .filter(c -> c.capacity() > CAPACITY)
                .count();
        long selected = domain.getValue().stream().filter(m -> large.contains(m.id())).count();
        assertThat(selected).isEqualTo(Math.min(2, available));
      }
    }

    // Guards against a plan that keeps a relay that does not answer, or that exchanges the others.
    @Test
    void passesOverTheIneligible() {
      List<RelayPlan.Candidate> counted = candidates(60, 3);
      RelayView before = plan.update(counted);
      InstanceId lost = before.relays().getFirst().id();
      RelayView after = plan.update(replace(counted, Set.of(lost), CAPACITY, false));
      assertThat(after.relays()).hasSize(before.relays().size());
      assertThat(after.contains(lost)).isFalse();
      assertThat(ids(after))
          .containsAtLeastElementsIn(ids(before).stream().filter(id -> !id.equals(lost)).toList());
    }

    @Test
    void goesOnWithoutADomainThatIsAway() {
      List<RelayPlan.Candidate> counted = candidates(60, 3);
      Set<InstanceId> away =
          counted.stream()
              .map(RelayPlan.Candidate::member)
              .filter(m -> m.failureDomain().value().equals("d1"))
              .map(Member::id)
              .collect(Collectors.toSet());
      RelayView view = plan.update(replace(counted, away, CAPACITY, false));
      assertThat(countByDomain(view.relays()))
          .containsExactly(new FailureDomain("d0"), 2L, new FailureDomain("d2"), 2L);
      assertThat(countPrimaries(counted, view).values().stream().mapToLong(n -> n).sum())
          .isEqualTo(60 - 4);
    }
  }

  @Nested
  class Limit {
    // Guards against relays in the fleets for which the full mesh was measured and tuned.
    @Test
    void keepsSmallFleetsAFullMesh() {
      for (int size : new int[] {1, 17, 18, LIMIT}) {
        assertThat(plan.update(candidates(size, 4))).isEqualTo(RelayView.FULL_MESH);
      }
      assertThat(plan.update(candidates(LIMIT + 1, 4)).isFullMesh()).isFalse();
    }

    // Guards against all links being rebuilt whenever one instance joins or leaves at the limit.
    @Test
    void isLeftOnlyWellBelow() {
      assertThat(plan.update(candidates(LIMIT + 1, 4)).isFullMesh()).isFalse();
      assertThat(plan.update(candidates(LIMIT, 4)).isFullMesh()).isFalse();
      assertThat(plan.update(candidates(18, 4)).isFullMesh()).isFalse();
      assertThat(plan.update(candidates(17, 4)).isFullMesh()).isTrue();
      assertThat(plan.update(candidates(LIMIT, 4)).isFullMesh()).isTrue();
    }
  }

  @Nested
  @Group
  class Load {
    // Guards against links and subscribers that grow with the fleet again.
    @Test
    void isBoundedAt300Instances() {
      for (int domains : new int[] {3, 4}) {
        List<RelayPlan.Candidate> counted = candidates(300, domains);
        RelayView view = new RelayPlan(LIMIT).update(counted);
        assertThat(view.relays().size()).isAtMost(9);
        assertThat(Collections.max(countPrimaries(counted, view).values())).isAtMost(50L);
      }
    }

    // Guards against names for which the hash puts most subscribers on one relay.
    @Property(tries = 100, seed = "63")
    void isSpreadForAnyNames(@ForAll @IntRange(min = 0, max = 1_000_000) int name) {
      List<RelayPlan.Candidate> counted =
          candidates(300, 4).stream()
              .map(RelayPlan.Candidate::member)
              .map(
                  m ->
                      new Member(
                          new InstanceId("n" + name + m.id()),
                          1,
                          m.failureDomain(),
                          m.peerAddress()))
              .map(m -> new RelayPlan.Candidate(m, CAPACITY, true))
              .toList();
      RelayView view = new RelayPlan(LIMIT).update(counted);
      // Two relays share 73 subscribers; the bound is five standard deviations above the mean.
      assertThat(Collections.max(countPrimaries(counted, view).values())).isAtMost(58L);
    }

    @Test
    void addsRelaysToLargeDomains() {
      assertThat(plan.update(candidates(96, 1)).relays()).hasSize(2);
      assertThat(plan.update(candidates(97, 1)).relays()).hasSize(3);
      assertThat(plan.update(candidates(300, 1)).relays()).hasSize(7);
    }
  }

  @Nested
  class Primary {
    private final List<RelayPlan.Candidate> counted = candidates(90, 3);
    private final RelayView view = plan.update(counted);

    private Stream<Member> subscribers() {
      return counted.stream()
          .map(RelayPlan.Candidate::member)
          .filter(member -> !view.contains(member.id()));
    }

    // Guards against messages that cross failure domains without need.
    @Test
    void isInTheOwnDomain() {
      subscribers()
          .forEach(
              m ->
                  assertThat(view.primary(m, id -> true).map(Member::failureDomain))
                      .isEqualTo(Optional.of(m.failureDomain())));
    }

    // Guards against a lost relay whose subscribers all move to one other relay, or move although
    // their own relay works.
    @Test
    void changesOnlyForTheSubscribersOfALostRelay() {
      InstanceId lost = view.relays().getFirst().id();
      subscribers()
          .forEach(
              m -> {
                Member before = view.primary(m, id -> true).orElseThrow();
                Member after = view.primary(m, id -> !id.equals(lost)).orElseThrow();
                assertThat(after.failureDomain()).isEqualTo(m.failureDomain());
                if (!before.id().equals(lost)) {
                  assertThat(after).isEqualTo(before);
                }
              });
    }

    @Test
    void isInAnotherDomainWhenNoneAnswersInTheOwn() {
      Function<Member, Optional<Member>> elsewhere =
          m ->
              view.primary(
                  m,
                  id ->
                      view.relays().stream()
                          .filter(relay -> relay.id().equals(id))
                          .noneMatch(relay -> relay.failureDomain().equals(m.failureDomain())));
      List<Member> chosen =
          subscribers().map(elsewhere).flatMap(Optional::stream).distinct().toList();
      assertThat(chosen).containsExactlyElementsIn(view.relays());
      subscribers().forEach(m -> assertThat(elsewhere.apply(m)).isPresent());
    }

    @Test
    void isMissingForRelaysAndWithoutRelays() {
      assertThat(view.primary(view.relays().getFirst(), id -> true)).isEmpty();
      assertThat(view.primary(member(0, 3), id -> false)).isEmpty();
      assertThat(RelayView.FULL_MESH.primary(member(0, 3), id -> true)).isEmpty();
    }
  }
}
