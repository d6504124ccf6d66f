package org.bergamotcross.core.config;

import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;

/** A record of the log stream {@code control}, independent of its encoding. */
public sealed interface ControlRecord {

  /**
   * Replaces the settings of one team.
   *
   * @param editId a unique id that the author chose, so that a repeated append has no effect
   * @param path {@code /teams/<team>}
   * @param basedOn the offset of the accepted edit that this one replaces, -1 if there is none
   * @param author who published the edit
   * @param content the settings as INI text
   */
  record Edit(String editId, String path, long basedOn, String author, String content)
      implements ControlRecord {}

  /**
   * Withdraws a key permanently.
   *
   * @param editId a unique id that the author chose
   * @param key the hash of the key
   */
  record Withdraw(String editId, KeyHash key) implements ControlRecord {}

  /**
   * Repeats the folded state, so that older records may expire from the log.
   *
   * @param state the complete state at the offset up to which it was folded
   */
  record Snapshot(FoldState state) implements ControlRecord {}

  /**
   * Makes an instance a member, or updates its membership after a restart.
   *
   * @param member the instance
   */
  record Join(Member member) implements ControlRecord {}

  /**
   * Ends the membership of an instance at its own request.
   *
   * @param instance the instance
   * @param incarnation the incarnation that leaves; any other incarnation remains a member
   */
  record Leave(InstanceId instance, long incarnation) implements ControlRecord {}

  /**
   * Ends the membership of an instance that has failed.
   *
   * @param instance the instance
   * @param incarnation the incarnation that has failed; any other incarnation remains a member
   */
  record Expel(InstanceId instance, long incarnation) implements ControlRecord {}
}
