package org.bergamotcross.core.config;

import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/** A record of the log stream {@code control}, independent of its encoding. */
public sealed interface ControlRecord {

  /**
   * Replaces the subtree of one team.
   *
   * @param editId a unique id that its author chose, so that a repeated append has no effect
   * @param path {@code /teams/<team>}
   * @param basedOn the offset of the accepted edit that it replaces, -1 for none
   * @param author who published it
   * @param content the INI text of the subtree
   */
  record Edit(String editId, String path, long basedOn, String author, String content)
      implements ControlRecord {}

  /**
   * Withdraws a key for ever.
   *
   * @param editId the id that its author chose
   * @param key the hash of the key
   */
  record Withdraw(String editId, KeyHash key) implements ControlRecord {}

  /**
   * Repeats the folded state, so that older records may leave the retention of the log.
   *
   * @param state the whole state at the offset up to which it was folded
   */
  record Snapshot(FoldState state) implements ControlRecord {}

  /**
   * Makes an instance a member, or renews its entry after a restart.
   *
   * @param member the instance
   */
  record Join(Member member) implements ControlRecord {}

  /**
   * Ends a membership at the wish of the instance.
   *
   * @param instance the instance
   * @param incarnation the incarnation that leaves; another incarnation stays
   */
  record Leave(InstanceId instance, long incarnation) implements ControlRecord {}

  /**
   * Ends the membership of an instance that is gone.
   *
   * @param instance the instance
   * @param incarnation the incarnation that is gone; another incarnation stays
   */
  record Expel(InstanceId instance, long incarnation) implements ControlRecord {}
}
