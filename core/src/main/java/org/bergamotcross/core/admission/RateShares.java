package org.bergamotcross.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.membership.Member;

/** Which members hold which organisation in one configuration. */
final class RateShares {
  static final RateShares NONE = new RateShares(Configuration.EMPTY);

  private final Configuration configuration;
  private final Map<OrganisationId, List<Member>> holders = new HashMap<>();

  RateShares(Configuration configuration) {
    this.configuration = configuration;
  }

  Configuration configuration() {
    return configuration;
  }

  /** Returns the holders of an organisation, none when it is not configured. */
  List<Member> holders(OrganisationId id) {
    return holders.computeIfAbsent(
        id, key -> configuration.organisation(key).map(this::choose).orElse(List.of()));
  }

  // A holder whose part of the burst is below one token could never grant a whole one, so a small
  // burst has fewer holders.
  private List<Member> choose(Organisation organisation) {
    List<Member> all = configuration.members().holders(organisation.id().value());
    int wholeTokens = (int) Math.max(1, Math.min(all.size(), Math.floor(organisation.burst())));
    return all.subList(0, Math.min(all.size(), wholeTokens));
  }

  /** Returns how many membership records lie between two configurations, at least. */
  static int memberChanges(Configuration from, Configuration to) {
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
   * Tells whether the records between two configurations are known to be one or none.
   *
   * <p>A record changes one member at most. An epoch that moved with no visible change hides two.
   */
  static boolean follows(Configuration from, Configuration to) {
    int expected = from.members().epoch() == to.members().epoch() ? 0 : 1;
    return memberChanges(from, to) == expected;
  }
}
