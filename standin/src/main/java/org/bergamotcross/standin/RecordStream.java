package org.bergamotcross.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One stream of the log; keeps trimmed records for tests but doesn't return them to readers. */
final class RecordStream {
  private final List<StoredRecord> allRecords = new ArrayList<>();
  private long firstRetained;

  long append(byte[] data, Optional<String> client, long wallMillis, int retention) {
    long offset = allRecords.size();
    allRecords.add(new StoredRecord(offset, data, client, wallMillis));
    trim(retention);
    return offset;
  }

  /**
   * Trims the oldest records beyond the retention; a trimmed record never becomes readable again.
   */
  void trim(int retention) {
    firstRetained = Math.max(firstRetained, nextOffset() - retention);
  }

  PlatformResponse read(long from, int maxRecords) {
    if (from < firstRetained) {
      return new PlatformResponse.Trimmed(firstRetained);
    }
    int start = (int) Math.min(from, nextOffset());
    int end = (int) Math.min((long) start + maxRecords, nextOffset());
    return new PlatformResponse.Page(
        firstRetained, nextOffset(), List.copyOf(allRecords.subList(start, end)));
  }

  /** Returns the page that a read returned before the record at {@code from} was appended. */
  PlatformResponse readStale(long from, int maxRecords) {
    int end = (int) Math.min(from, nextOffset());
    int start = (int) Math.max(firstRetained, (long) end - maxRecords);
    List<StoredRecord> records =
        start < end ? List.copyOf(allRecords.subList(start, end)) : List.of();
    return new PlatformResponse.Page(firstRetained, end, records);
  }

  long nextOffset() {
    return allRecords.size();
  }

  List<StoredRecord> allRecords() {
    return List.copyOf(allRecords);
  }
}
