package org.bergamotcross.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The members of the fleet at one epoch.
 *
 * @param epoch the offset of the last accepted membership record, -1 when there is none
 * @param list the members, ordered by id
 */
public record Members(long epoch, List<Member> list) {
  /** The maximum number of holders of an organisation, in different failure domains. */
  public static final int MAX_HOLDERS = 3;

  /** A membership without members. */
  public static final Members NONE = new Members(-1, List.of());

  /** Copies the list and orders it by id. */
  public Members {
    list = list.stream().sorted(Comparator.comparing(Member::id)).toList();
  }

  /**
   * Finds a member by id.
   *
   * @param id the instance
   * @return the member; empty when the instance is not a member
   */
  public Optional<Member> find(InstanceId id) {
    return list.stream().filter(member -> member.id().equals(id)).findFirst();
  }

  /**
   * Returns the size of the smallest majority of the members.
   *
   * @return the number of members
   */
  public int majority() {
    return list.size() / 2 + 1;
  }

  /**
   * Selects the members that hold the state of a key by rendezvous hashing.
   *
   * <p>Adding or removing a member changes the holders only of keys that this member held or now
   * holds.
   *
   * @param key for example the id of an organisation
   * @return up to {@link #MAX_HOLDERS} members in different failure domains, by descending weight
   */
  public List<Member> holders(String key) {
    Set<FailureDomain> used = new HashSet<>();
    return rankByWeight(key).stream()
        .filter(member -> used.add(member.failureDomain()))
        .limit(MAX_HOLDERS)
        .toList();
  }

  /**
   * Selects members by rendezvous hashing and prefers different failure domains.
   *
   * @param key for example the id of an organisation
   * @param count the maximum number of members
   * @return the selected members; a failure domain occurs more than once only when there are fewer
   *     failure domains than {@code count}
   */
  public List<Member> selectAcrossDomains(String key, int count) {
    long[] weights = new long[list.size()];
    for (int i = 0; i < weights.length; i++) {
      weights[i] = rendezvousWeight(key, list.get(i).id());
    }
    // Picks one at a time, because sorting all members costs much more where there are many.
    Set<FailureDomain> used = new HashSet<>();
    BitSet selected = new BitSet(weights.length);
    List<Member> result = new ArrayList<>(count);
    while (result.size() < Math.min(count, weights.length)) {
      int best = heaviest(weights, i -> !selected.get(i) && !used.contains(domain(i)));
      if (best < 0) {
        best = heaviest(weights, i -> !selected.get(i));
      }
      selected.set(best);
      used.add(domain(best));
      result.add(list.get(best));
    }
    return result;
  }

  /**
   * Checks whether {@link #selectAcrossDomains} selects a member, without ranking all members where
   * that is not necessary.
   *
   * @param key for example the id of an organisation
   * @param count the maximum number of members
   * @param id the instance
   * @return whether it is selected
   */
  public boolean isSelectedAcrossDomains(String key, int count, InstanceId id) {
    Optional<Member> candidate = find(id);
    if (candidate.isEmpty()) {
      return false;
    }
    // With enough failure domains, only the heaviest member of each can be selected.
    boolean isRejected = isOutweighedInItsDomain(key, candidate.get()) && hasFailureDomains(count);
    return !isRejected && selectAcrossDomains(key, count).contains(candidate.get());
  }

  private boolean isOutweighedInItsDomain(String key, Member candidate) {
    long weight = rendezvousWeight(key, candidate.id());
    for (Member other : list) {
      if (other.failureDomain().equals(candidate.failureDomain())
          && !other.equals(candidate)
          && rendezvousWeight(key, other.id()) > weight) {
        return true;
      }
    }
    return false;
  }

  private boolean hasFailureDomains(int count) {
    Set<FailureDomain> domains = new HashSet<>();
    for (Member member : list) {
      if (domains.add(member.failureDomain()) && domains.size() >= count) {
        return true;
      }
    }
    return false;
  }

  private FailureDomain domain(int index) {
    return list.get(index).failureDomain();
  }

  /** Returns the eligible index of the highest weight, the first one at a tie, or -1. */
  private static int heaviest(long[] weights, IntPredicate isEligible) {
    int best = -1;
    for (int i = 0; i < weights.length; i++) {
      if ((best < 0 || weights[i] > weights[best]) && isEligible.test(i)) {
        best = i;
      }
    }
    return best;
  }

  private List<Member> rankByWeight(String key) {
    record Ranked(long weight, Member member) {}
    return list.stream()
        .map(member -> new Ranked(rendezvousWeight(key, member.id()), member))
        .sorted(
            Comparator.comparingLong(Ranked::weight)
                .reversed()
                .thenComparing(ranked -> ranked.member().id()))
        .map(Ranked::member)
        .toList();
  }

  /**
   * Returns the rendezvous hashing weight of an instance for a key.
   *
   * @param key for example the id of an organisation
   * @param instance the instance
   * @return the weight; the instance with the highest weight is selected first
   */
  public static long rendezvousWeight(String key, InstanceId instance) {
    byte[] bytes = (key + '\n' + instance.value()).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
