package org.bergamotcross.entry.duties;

import java.util.List;

/** The messages between the config duties of two instances. */
sealed interface PeerMessage {
  /** The kind of {@link RecordsAsk} on the wire. */
  String RECORDS_ASK = "records-ask";

  /** The kind of {@link Records} on the wire. */
  String RECORDS = "records";

  /** The kind of {@link SnapshotAsk} on the wire. */
  String SNAPSHOT_ASK = "snapshot-ask";

  /** The kind of {@link Snapshot} on the wire. */
  String SNAPSHOT = "snapshot";

  /**
   * Asks for records.
   *
   * @param from the first offset that the sender lacks
   */
  record RecordsAsk(long from) implements PeerMessage {}

  /**
   * Answers with records as the log holds them.
   *
   * @param records the records in order, from the one that was asked for; none when the sender no
   *     longer keeps that one
   */
  record Records(List<Entry> records) implements PeerMessage {}

  /**
   * Asks for the whole state.
   *
   * @param above the offset up to which the sender has folded
   */
  record SnapshotAsk(long above) implements PeerMessage {}

  /**
   * Answers with the whole state.
   *
   * @param record a snapshot record as the log would hold it, in Base64
   */
  record Snapshot(String record) implements PeerMessage {}

  /**
   * A record of the log.
   *
   * @param offset its offset
   * @param data its bytes in Base64; they must arrive unchanged, even if they are no text
   */
  record Entry(long offset, String data) {}
}
