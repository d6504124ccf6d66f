package org.bergamotcross.core.config;

import java.util.List;
import java.util.Set;
import org.bergamotcross.core.membership.Members;

/**
 * The whole state of a fold in a form that can be written down and read again.
 *
 * @param upTo the offset of the last record that was folded, -1 for none
 * @param teams the accepted subtrees, ordered by team
 * @param withdrawn the keys that are withdrawn for ever
 * @param members the members
 * @param seen the latest edits that were accepted or refused, oldest first
 */
public record FoldState(
    long upTo,
    List<TeamVersion> teams,
    Set<KeyHash> withdrawn,
    Members members,
    List<EditReference> seen) {

  /** Copies the collections. */
  public FoldState {
    teams = List.copyOf(teams);
    withdrawn = Set.copyOf(withdrawn);
    seen = List.copyOf(seen);
  }

  /**
   * The accepted subtree of a team.
   *
   * @param team the name of the team
   * @param edit the edit that published it; its offset is the version of the path
   * @param content the INI text
   */
  public record TeamVersion(String team, EditReference edit, String content) {}
}
