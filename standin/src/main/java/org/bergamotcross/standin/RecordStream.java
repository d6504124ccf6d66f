package org.bergamotcross.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One stream: all records ever appended, of which the last ones are retained. */
final class RecordStream {
  private final List<StoredRecord> history = new ArrayList<>();
  private long earliest;

  long append(byte[] data, Optional<String> client, long wallMillis, int retention) {
    long offset = history.size();
    history.add(new StoredRecord(offset, data, client, wallMillis));
    retain(retention);
    return offset;
  }

  /** Drops records from the front; what is dropped never comes back. */
  void retain(int retention) {
    earliest = Math.max(earliest, next() - retention);
  }

  PlatformAnswer read(long from, int max) {
    if (from < earliest) {
      return new PlatformAnswer.Gone(earliest);
    }
    int start = (int) Math.min(from, next());
    int end = (int) Math.min((long) start + max, next());
    return new PlatformAnswer.Page(earliest, next(), List.copyOf(history.subList(start, end)));
  }

  /** Answers as a reader would have been answered before the record at {@code from} existed. */
  PlatformAnswer readBefore(long from, int max) {
    int end = (int) Math.min(from, next());
    int start = (int) Math.max(earliest, (long) end - max);
    List<StoredRecord> records = start < end ? List.copyOf(history.subList(start, end)) : List.of();
    return new PlatformAnswer.Page(earliest, end, records);
  }

  long next() {
    return history.size();
  }

  List<StoredRecord> history() {
    return List.copyOf(history);
  }
}
