package org.bergamotcross.entry.duties;

import java.util.List;

/**
 * A message between the config duties of two instances, by which one gets log records from the
 * other.
 */
sealed interface CatchUpMessage {
  /** The kind of {@link RecordsRequest} on the wire. */
  String RECORDS_REQUEST_KIND = "records-ask";

  /** The kind of {@link RecordsResponse} on the wire. */
  String RECORDS_RESPONSE_KIND = "records";

  /** The kind of {@link SnapshotRequest} on the wire. */
  String SNAPSHOT_REQUEST_KIND = "snapshot-ask";

  /** The kind of {@link SnapshotResponse} on the wire. */
  String SNAPSHOT_RESPONSE_KIND = "snapshot";

  /**
   * Requests log records.
   *
   * @param from the first log offset that the sender lacks
   */
  record RecordsRequest(long from) implements CatchUpMessage {}

  /**
   * Responds with records in the encoding of the log.
   *
   * @param records the records in order, starting with the requested offset; empty when the sender
   *     no longer buffers that record
   */
  record RecordsResponse(List<EncodedRecord> records) implements CatchUpMessage {}

  /**
   * Requests a snapshot of the whole state.
   *
   * @param above the last log offset that the sender has applied; only a later state is of use to
   *     it
   */
  record SnapshotRequest(long above) implements CatchUpMessage {}

  /**
   * Responds with a snapshot of the whole state.
   *
   * @param record a snapshot record in the encoding of the log, as Base64
   */
  record SnapshotResponse(String record) implements CatchUpMessage {}

  /**
   * A record of the log in a message.
   *
   * @param offset the log offset of the record
   * @param data the bytes of the record as Base64, because they must arrive unchanged even if they
   *     are not valid text
   */
  record EncodedRecord(long offset, String data) {}
}
