package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.bergamotcross.core.config.LogReader;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.entry.platform.PlatformClient;
import org.bergamotcross.entry.platform.PlatformClient.ReadResult;
import org.bergamotcross.kernel.ClockReading;

/** Follows the log with long-polling reads, one at a time. */
final class LogFollower {
  /** The maximum number of records in a page. */
  static final int MAX_PAGE_RECORDS = 256;

  // A read confirms the state as of its start, so the wait must be well below the 3 s for which the
  // configuration stays fresh.
  private static final Duration READ_WAIT = Duration.ofSeconds(1);
  // The client ends each read within 3 s; if the result is missing after this time, it was lost on
  // a full ring.
  private static final Duration LOST_READ_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);
  // Limits the rate of reads when the platform responds immediately although there is no record.
  private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(50);

  private final PlatformClient client;
  private final LogReader reader;
  private final Consumer<ConfigMessage> ring;
  private Optional<ClockReading> readStartedAt = Optional.empty();
  private Optional<ClockReading> nextReadAt = Optional.empty();

  LogFollower(PlatformClient client, LogReader reader, Consumer<ConfigMessage> ring) {
    this.client = client;
    this.reader = reader;
    this.ring = ring;
  }

  /**
   * Starts a read if none is open and the next one is due.
   *
   * @param now the current time
   */
  void startReadIfDue(ClockReading now) {
    boolean open =
        readStartedAt.isPresent()
            && now.since(readStartedAt.get()).compareTo(LOST_READ_TIMEOUT) < 0;
    if (open || (nextReadAt.isPresent() && now.isBefore(nextReadAt.get()))) {
      return;
    }
    readStartedAt = Optional.of(now);
    long from = reader.nextOffset();
    client
        .read(PlatformClient.CONTROL_STREAM, from, MAX_PAGE_RECORDS, READ_WAIT)
        .thenAccept(result -> ring.accept(new ConfigMessage.LogReadCompleted(now, from, result)));
  }

  /**
   * Handles the completion of a read and schedules the next one.
   *
   * @param read the completed read
   * @param now the current time
   */
  void onReadCompleted(ConfigMessage.LogReadCompleted read, ClockReading now) {
    if (readStartedAt.equals(Optional.of(read.sentAt()))) {
      readStartedAt = Optional.empty();
    }
    boolean succeeded = read.result() instanceof ReadResult.Page;
    nextReadAt =
        Optional.of(succeeded ? read.sentAt().plus(MIN_READ_INTERVAL) : now.plus(RETRY_DELAY));
  }

  static List<LogReader.Entry> decodeRecords(List<PlatformClient.LogRecord> records) {
    return records.stream().map(LogFollower::decodeRecord).toList();
  }

  private static LogReader.Entry decodeRecord(PlatformClient.LogRecord record) {
    LogReader.Content content =
        switch (ControlRecordCodec.decode(record.data())) {
          case ControlRecordCodec.Decoded.Valid understood ->
              new LogReader.Content.Parsed(understood.record());
          case ControlRecordCodec.Decoded.Invalid unreadable ->
              new LogReader.Content.Unreadable(unreadable.reason());
        };
    return new LogReader.Entry(record.offset(), content);
  }
}
