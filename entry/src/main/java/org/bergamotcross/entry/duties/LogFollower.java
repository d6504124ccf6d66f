package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.bergamotcross.core.config.LogReader;
import org.bergamotcross.entry.platform.ControlRecordCodec;
import org.bergamotcross.entry.platform.PlatformClient;
import org.bergamotcross.entry.platform.PlatformClient.ReadResult;
import org.bergamotcross.kernel.Now;

/** Keeps one read of the log open at a time. */
final class LogFollower {
  /** The largest number of records of a page. */
  static final int MAX_RECORDS = 256;

  // A read confirms the state as of its start, so it must be well below the 3 s of freshness.
  private static final Duration WAIT = Duration.ofSeconds(1);
  // The client ends a read within its time limit of 3 s; later its end was lost on a full ring.
  private static final Duration LOST_AFTER = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);
  // Bounds the rate of reads when the platform answers at once although there is no record.
  private static final Duration MIN_INTERVAL = Duration.ofMillis(50);

  private final PlatformClient client;
  private final LogReader reader;
  private final Consumer<ConfigInput> ring;
  private Optional<Now> openSince = Optional.empty();
  private Optional<Now> nextAt = Optional.empty();

  LogFollower(PlatformClient client, LogReader reader, Consumer<ConfigInput> ring) {
    this.client = client;
    this.reader = reader;
    this.ring = ring;
  }

  /**
   * Starts a read when none is open and the next one is due.
   *
   * @param now the present time
   */
  void poll(Now now) {
    boolean open = openSince.isPresent() && now.since(openSince.get()).compareTo(LOST_AFTER) < 0;
    if (open || (nextAt.isPresent() && now.isBefore(nextAt.get()))) {
      return;
    }
    openSince = Optional.of(now);
    long from = reader.nextOffset();
    client
        .read(PlatformClient.CONTROL_STREAM, from, MAX_RECORDS, WAIT)
        .thenAccept(result -> ring.accept(new ConfigInput.ReadEnded(now, from, result)));
  }

  /**
   * Notes that a read has ended.
   *
   * @param ended the end
   * @param now the present time
   */
  void ended(ConfigInput.ReadEnded ended, Now now) {
    if (openSince.equals(Optional.of(ended.sentAt()))) {
      openSince = Optional.empty();
    }
    boolean answered = ended.result() instanceof ReadResult.Page;
    nextAt = Optional.of(answered ? ended.sentAt().plus(MIN_INTERVAL) : now.plus(RETRY_DELAY));
  }

  static List<LogReader.Entry> entries(List<PlatformClient.LogRecord> records) {
    return records.stream().map(LogFollower::entry).toList();
  }

  private static LogReader.Entry entry(PlatformClient.LogRecord record) {
    LogReader.Content content =
        switch (ControlRecordCodec.decode(record.data())) {
          case ControlRecordCodec.Decoded.Valid understood ->
              new LogReader.Content.Known(understood.record());
          case ControlRecordCodec.Decoded.Invalid unreadable ->
              new LogReader.Content.Unreadable(unreadable.reason());
        };
    return new LogReader.Entry(record.offset(), content);
  }
}
