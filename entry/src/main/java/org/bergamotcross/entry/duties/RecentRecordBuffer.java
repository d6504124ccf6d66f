package org.bergamotcross.entry.duties;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import org.bergamotcross.entry.platform.PlatformClient.LogRecord;

/** Buffers the latest applied records without gaps, for peers that can't read the log. */
final class RecentRecordBuffer {
  // Covers half an hour at 41,000 changes per day, within a few percent of the memory for control.
  private static final int MAX_RECORDS = 1_024;
  private static final long MAX_BYTES = 8L * 1024 * 1024;
  // Keeps a response well below the maximum frame size between peers.
  private static final int MAX_RESPONSE_BYTES = 256 * 1024;

  private final Deque<LogRecord> records = new ArrayDeque<>();
  private long bytes;

  void add(LogRecord record) {
    if (!records.isEmpty() && records.getLast().offset() + 1 != record.offset()) {
      records.clear();
      bytes = 0;
    }
    records.addLast(record);
    bytes += record.data().length;
    while (records.size() > MAX_RECORDS || bytes > MAX_BYTES) {
      bytes -= records.removeFirst().data().length;
    }
  }

  /**
   * Reads records for a peer that lacks them.
   *
   * @param from the first offset that the peer lacks
   * @param offset the last offset that this instance has applied
   * @return the response; without records when the first one is not buffered
   */
  CatchUpMessage.RecordsResponse readFrom(long from, long offset) {
    // After a snapshot of a peer was adopted, the buffered records end before the applied offset.
    boolean complete = !records.isEmpty() && records.getLast().offset() == offset;
    long earliest = complete ? records.getFirst().offset() : offset + 1;
    List<CatchUpMessage.EncodedRecord> entries = new ArrayList<>();
    int size = 0;
    for (LogRecord record : records) {
      if (complete && from >= earliest && record.offset() >= from && size < MAX_RESPONSE_BYTES) {
        size += record.data().length;
        entries.add(
            new CatchUpMessage.EncodedRecord(
                record.offset(), Base64.getEncoder().encodeToString(record.data())));
      }
    }
    return new CatchUpMessage.RecordsResponse(entries);
  }
}
