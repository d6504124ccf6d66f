package org.bergamotcross.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The members of the fleet at one epoch.
 *
 * @param epoch the offset of the last accepted membership record, -1 when there is none
 * @param list the members, ordered by id
 */
public record Members(long epoch, List<Member> list) {
  /** The number of holders of an organisation, each one in another failure domain. */
  public static final int HOLDERS = 3;

  /** No members. */
  public static final Members NONE = new Members(-1, List.of());

  /** Copies and orders the list. */
  public Members {
    list = list.stream().sorted(Comparator.comparing(Member::id)).toList();
  }

  /**
   * Finds a member.
   *
   * @param id the instance
   * @return the member, or nothing when the instance is none
   */
  public Optional<Member> find(InstanceId id) {
    return list.stream().filter(member -> member.id().equals(id)).findFirst();
  }

  /**
   * Returns the smallest number of members that is more than half of all.
   *
   * @return the majority
   */
  public int majority() {
    return list.size() / 2 + 1;
  }

  /**
   * Chooses the members that hold the state of a key by rendezvous hashing.
   *
   * <p>A change of one member changes the holders of only those keys that it held or now holds.
   *
   * @param key for example the id of an organisation
   * @return up to {@link #HOLDERS} members in different failure domains, best first
   */
  public List<Member> holders(String key) {
    Set<FailureDomain> used = new HashSet<>();
    return ranked(key).stream()
        .filter(member -> used.add(member.failureDomain()))
        .limit(HOLDERS)
        .toList();
  }

  /**
   * Chooses members by rendezvous hashing, in different failure domains first.
   *
   * @param key for example the id of an organisation
   * @param count the number of members
   * @return up to that many members; several of a failure domain only when there are too few
   */
  public List<Member> spread(String key, int count) {
    Set<FailureDomain> used = new HashSet<>();
    List<Member> firstOfDomain = new ArrayList<>();
    List<Member> others = new ArrayList<>();
    for (Member member : ranked(key)) {
      (used.add(member.failureDomain()) ? firstOfDomain : others).add(member);
    }
    return Stream.concat(firstOfDomain.stream(), others.stream()).limit(count).toList();
  }

  private List<Member> ranked(String key) {
    record Ranked(long weight, Member member) {}
    return list.stream()
        .map(member -> new Ranked(weight(key, member.id()), member))
        .sorted(
            Comparator.comparingLong(Ranked::weight)
                .reversed()
                .thenComparing(ranked -> ranked.member().id()))
        .map(Ranked::member)
        .toList();
  }

  /**
   * Ranks an instance for a key by rendezvous hashing.
   *
   * @param key for example the id of an organisation
   * @param instance the instance
   * @return the rank; the highest one is chosen first
   */
  public static long weight(String key, InstanceId instance) {
    byte[] bytes = (key + '\n' + instance.value()).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
