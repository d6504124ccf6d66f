package org.bergamotcross.entry.peer;

/**
 * What a heartbeat says about the links between its sender and its receiver.
 *
 * <p>A sender that keeps a link to every instance, or is of a version that knows no relays, sends
 * no flags.
 *
 * @param bits the flags on the wire, 0 if a heartbeat carries none
 */
record LinkFlags(int bits) {
  private static final int USES_RELAYS = 1;
  private static final int WANTS_LINK = 2;
  private static final int TAKES_PRIMARY = 4;
  private static final int IS_RELAY = 8;

  /** The sender keeps a link to every instance. */
  static final LinkFlags FULL_MESH = new LinkFlags(0);

  /** Nothing was received from the sender yet. */
  static final LinkFlags NONE = new LinkFlags(USES_RELAYS);

  /** The sender has introduced itself and wants the link, and has sent no heartbeat yet. */
  static final LinkFlags INTRODUCED = new LinkFlags(USES_RELAYS | WANTS_LINK);

  /**
   * Creates the flags of an instance that uses relays.
   *
   * @param wantsLink whether it wants the link for itself, and not only because the receiver does
   * @param takesPrimary whether the receiver is its primary relay
   * @param isRelay whether it relays
   * @return the flags
   */
  static LinkFlags of(boolean wantsLink, boolean takesPrimary, boolean isRelay) {
    return new LinkFlags(
        USES_RELAYS
            | (wantsLink ? WANTS_LINK : 0)
            | (takesPrimary ? TAKES_PRIMARY : 0)
            | (isRelay ? IS_RELAY : 0));
  }

  boolean isFullMesh() {
    return (bits & USES_RELAYS) == 0;
  }

  boolean wantsLink() {
    return isFullMesh() || (bits & WANTS_LINK) != 0;
  }

  boolean takesPrimary() {
    return (bits & TAKES_PRIMARY) != 0;
  }

  boolean isRelay() {
    return (bits & IS_RELAY) != 0;
  }
}
