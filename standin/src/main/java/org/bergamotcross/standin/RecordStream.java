package org.bergamotcross.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One stream: all records ever appended, of which the last ones are retained. */
final class RecordStream {
  private final List<StoredRecord> allRecords = new ArrayList<>();
  private long firstRetained;

  long append(byte[] data, Optional<String> client, long wallMillis, int retention) {
    long offset = allRecords.size();
    allRecords.add(new StoredRecord(offset, data, client, wallMillis));
    trim(retention);
    return offset;
  }

  /** Drops records from the front; what is dropped never comes back. */
  void trim(int retention) {
    firstRetained = Math.max(firstRetained, nextOffset() - retention);
  }

  PlatformResponse read(long from, int max) {
    if (from < firstRetained) {
      return new PlatformResponse.Trimmed(firstRetained);
    }
    int start = (int) Math.min(from, nextOffset());
    int end = (int) Math.min((long) start + max, nextOffset());
    return new PlatformResponse.Page(
        firstRetained, nextOffset(), List.copyOf(allRecords.subList(start, end)));
  }

  /** Answers as a reader would have been answered before the record at {@code from} existed. */
  PlatformResponse readStale(long from, int max) {
    int end = (int) Math.min(from, nextOffset());
    int start = (int) Math.max(firstRetained, (long) end - max);
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
