package org.bergamotcross.entry.duties;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import org.bergamotcross.entry.platform.PlatformClient.LogRecord;

/** Keeps the latest folded records without a gap, for peers that can't read the log. */
final class RecentRecords {
  // Covers half an hour at 41,000 changes a day, within a few per cent of the memory for control.
  private static final int MAX_RECORDS = 1_024;
  private static final long MAX_BYTES = 8L * 1024 * 1024;
  // Leaves an answer well below the largest frame between peers.
  private static final int MAX_ANSWER_BYTES = 256 * 1024;

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
   * Answers a peer that lacks records.
   *
   * @param from the first offset that it lacks
   * @param offset the offset up to which this instance has folded
   * @return the records, none when the first one is not kept
   */
  PeerMessage.Records answer(long from, long offset) {
    // After a snapshot was adopted, the kept records end before the folded offset.
    boolean complete = !records.isEmpty() && records.getLast().offset() == offset;
    long earliest = complete ? records.getFirst().offset() : offset + 1;
    List<PeerMessage.Entry> entries = new ArrayList<>();
    int size = 0;
    for (LogRecord record : records) {
      if (complete && from >= earliest && record.offset() >= from && size < MAX_ANSWER_BYTES) {
        size += record.data().length;
        entries.add(
            new PeerMessage.Entry(
                record.offset(), Base64.getEncoder().encodeToString(record.data())));
      }
    }
    return new PeerMessage.Records(entries);
  }
}
