package org.bergamotcross.core.config;

import java.util.List;
import java.util.Set;
import org.bergamotcross.core.membership.Members;

/**
 * The complete state of a fold, in a form that can be stored and restored.
 *
 * @param upTo the offset of the last folded record, -1 if there is none
 * @param teams the accepted settings, ordered by team
 * @param withdrawn the permanently withdrawn keys
 * @param members the members
 * @param seenEdits the latest edits that were accepted or refused, oldest first
 */
public record FoldState(
    long upTo,
    List<TeamVersion> teams,
    Set<KeyHash> withdrawn,
    Members members,
    List<EditReference> seenEdits) {

  public FoldState {
    teams = List.copyOf(teams);
    withdrawn = Set.copyOf(withdrawn);
    seenEdits = List.copyOf(seenEdits);
  }

  /**
   * The accepted settings of a team.
   *
   * @param team the name of the team
   * @param edit the edit that published them; its offset is the version of the path
   * @param content the settings as INI text
   */
  public record TeamVersion(String team, EditReference edit, String content) {}
}
