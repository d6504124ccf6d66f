package org.bergamotcross.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;

/**
 * Guards against instances that disagree on the holders of an organisation, because a shortcut
 * gives another result than ranking all members.
 */
class HolderSelectionTest {
  private static final int COUNT = Members.MAX_HOLDERS;

  private static Members members(int size, int domains) {
    List<Member> list = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      list.add(
          new Member(
              new InstanceId("entry-" + i), 1, new FailureDomain("d" + i % domains), "10.0.0.1:1"));
    }
    return new Members(-1, list);
  }

  /** Ranks all members by weight, first one of each failure domain, then the others. */
  private List<Member> ranked(Members members, String key) {
    List<Member> byWeight = new ArrayList<>(members.list());
    byWeight.sort(
        Comparator.comparingLong((Member m) -> Members.rendezvousWeight(key, m.id())).reversed());
    Set<FailureDomain> used = new HashSet<>();
    List<Member> first = new ArrayList<>();
    List<Member> others = new ArrayList<>();
    byWeight.forEach(m -> (used.add(m.failureDomain()) ? first : others).add(m));
    first.addAll(others);
    return first.subList(0, Math.min(COUNT, first.size()));
  }

  @Nested
  @Group
  class Selection {
    @Property(tries = 200, seed = "57")
    void isThatOfARankingOfAllMembers(
        @ForAll @IntRange(min = 1, max = 60) int size,
        @ForAll @IntRange(min = 1, max = 5) int domains,
        @ForAll int organisation) {
      Members members = members(size, domains);
      String key = "organisation-" + organisation;
      List<Member> expected = ranked(members, key);
      assertThat(members.selectAcrossDomains(key, COUNT))
          .containsExactlyElementsIn(expected)
          .inOrder();
      for (Member member : members.list()) {
        assertThat(members.isSelectedAcrossDomains(key, COUNT, member.id()))
            .isEqualTo(expected.contains(member));
      }
    }
  }
}
