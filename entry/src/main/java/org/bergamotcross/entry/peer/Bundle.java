package org.bergamotcross.entry.peer;

import java.util.List;

/**
 * Messages to all instances that one instance sends to the next in one frame.
 *
 * @param items the messages
 */
record Bundle(List<Bundle.Item> items) {
  /** Copies the list. */
  Bundle {
    items = List.copyOf(items);
  }

  /**
   * Names a message of one process.
   *
   * @param origin a hash of the id and the incarnation of the instance that sent the message
   * @param sequence the sequence number among the messages of that process
   */
  record Part(long origin, long sequence) {}

  /**
   * One message, or several that a relay has merged.
   *
   * @param from the id of the origin, or of the relay that has merged
   * @param incarnation its incarnation
   * @param kind the wire name of the message kind
   * @param body the message encoded as MessagePack
   * @param parts the messages that this one stands for
   */
  // Written to the wire once and never changed or compared.
  @SuppressWarnings("ArrayRecordComponent")
  record Item(String from, long incarnation, String kind, byte[] body, List<Part> parts) {
    /** Copies the list. */
    Item {
      parts = List.copyOf(parts);
    }
  }
}
