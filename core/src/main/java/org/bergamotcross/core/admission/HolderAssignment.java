package org.bergamotcross.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.Member;

/** Assigns holders to organisations, as determined by one configuration. */
final class HolderAssignment {
  static final HolderAssignment NONE = new HolderAssignment(Configuration.EMPTY);

  private final Configuration configuration;
  private final Map<OrganisationId, List<Member>> holders = new HashMap<>();

  HolderAssignment(Configuration configuration) {
    this.configuration = configuration;
  }

  Configuration configuration() {
    return configuration;
  }

  /** Returns the holders of an organisation; empty if it is not configured. */
  List<Member> holders(OrganisationId id) {
    return holders.computeIfAbsent(
        id, key -> configuration.organisation(key).map(this::chooseHolders).orElse(List.of()));
  }

  // A holder with less than one token of the burst could never grant a whole token, so an
  // organisation with a small burst gets fewer holders.
  private List<Member> chooseHolders(Organisation organisation) {
    List<Member> all = configuration.members().holders(organisation.id().value());
    int wholeTokens = (int) Math.max(1, Math.min(all.size(), Math.floor(organisation.burst())));
    return all.subList(0, Math.min(all.size(), wholeTokens));
  }

  /** Returns the minimum number of membership records between two configurations. */
  static int countMemberChanges(Configuration from, Configuration to) {
    Map<String, Member> left = new HashMap<>();
    from.members().list().forEach(member -> left.put(member.id().value(), member));
    int changes = 0;
    for (Member member : to.members().list()) {
      if (!member.equals(left.remove(member.id().value()))) {
        changes++;
      }
    }
    return changes + left.size();
  }

  /**
   * Returns whether at most one membership record lies between two configurations.
   *
   * <p>A record changes at most one member. An epoch that advanced without a visible change hides
   * at least two records that cancel out.
   */
  static boolean isAtMostOneRecordApart(Configuration from, Configuration to) {
    int expected = from.members().epoch() == to.members().epoch() ? 0 : 1;
    return countMemberChanges(from, to) == expected;
  }
}
