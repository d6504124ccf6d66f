package org.bergamotcross.entry.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Talks to the log service and the instance list of the platform.
 *
 * <p>All methods return at once. The stages complete on a network thread and never exceptionally:
 * each failure is a value of the sealed result. Receivers only hand the result to a ring.
 *
 * <pre>{@code
 * client.read("control", 42, 256, Duration.ofSeconds(1))
 *     .thenAccept(result -> ring.offerReserved(new PageRead(result)));
 * }</pre>
 */
public interface PlatformClient extends AutoCloseable {
  /** The log stream that holds the configuration and the membership. */
  String CONTROL_STREAM = "control";

  /**
   * Appends a record; it is sent once and never repeated by the client.
   *
   * @param stream the stream
   * @param data the record
   * @return where the record stands, or what is known of its fate
   */
  CompletionStage<AppendResult> append(String stream, byte[] data);

  /**
   * Reads records.
   *
   * @param stream the stream
   * @param from the first offset to return
   * @param max the largest number of records to return, at least 1
   * @param wait how long the platform waits for a record when there is none yet
   * @return the records, or why there are none
   */
  CompletionStage<ReadResult> read(String stream, long from, int max, Duration wait);

  /**
   * Reads the list of live and leaving instances, which lags behind.
   *
   * @return the list, or why there is none
   */
  CompletionStage<ListResult> listInstances();

  @Override
  void close();

  /** The result of an append. */
  sealed interface AppendResult {

    /**
     * The record stands in the log.
     *
     * @param offset its offset
     */
    record Appended(long offset) implements AppendResult {}

    /**
     * The record has not been appended and won't be.
     *
     * @param reason why, for the operator
     */
    record Unavailable(String reason) implements AppendResult {}

    /**
     * The platform refused the record and would refuse it again.
     *
     * @param status the HTTP status, 400 to 499
     * @param reason the answer of the platform
     */
    record Refused(int status, String reason) implements AppendResult {}

    /**
     * The record may have been appended; only reading the log back tells.
     *
     * @param reason why there is no answer, for the operator
     */
    record OutcomeUnknown(String reason) implements AppendResult {}
  }

  /** The result of a read. */
  sealed interface ReadResult {

    /**
     * Records in the order of their offsets.
     *
     * @param earliest the oldest offset that the log retains
     * @param next the offset that the next append gets
     * @param records the records, none when nothing was appended while the platform waited
     */
    record Page(long earliest, long next, List<LogRecord> records) implements ReadResult {

      /** Copies the list. */
      public Page {
        records = List.copyOf(records);
      }
    }

    /**
     * The first offset asked for is no longer retained.
     *
     * @param earliest the oldest offset that the log retains
     */
    record NotRetained(long earliest) implements ReadResult {}

    /**
     * There is no answer or none that can be understood.
     *
     * @param reason why, for the operator
     */
    record Unavailable(String reason) implements ReadResult {}
  }

  /** The result of reading the instance list. */
  sealed interface ListResult {

    /**
     * The list.
     *
     * @param instances the live and leaving instances, as far as the platform knows
     */
    record Listed(List<PlatformInstance> instances) implements ListResult {

      /** Copies the list. */
      public Listed {
        instances = List.copyOf(instances);
      }
    }

    /**
     * There is no answer or none that can be understood.
     *
     * @param reason why, for the operator
     */
    record Unavailable(String reason) implements ListResult {}
  }

  /** A record of a stream. */
  final class LogRecord {
    private final long offset;
    private final byte[] data;

    /**
     * Creates a record.
     *
     * @param offset its offset
     * @param data its bytes, which nobody changes from now on
     */
    public LogRecord(long offset, byte[] data) {
      this.offset = offset;
      this.data = data;
    }

    /**
     * Returns the offset.
     *
     * @return the position in the stream
     */
    public long offset() {
      return offset;
    }

    /**
     * Returns the bytes.
     *
     * @return the bytes, which must not be changed
     */
    public byte[] data() {
      return data;
    }
  }

  /**
   * An entry of the instance list.
   *
   * @param id the instance
   * @param kind what it runs
   * @param state whether it is live or leaving
   * @param address where it listens, as {@code ip:port}
   * @param failureDomain where it runs
   */
  record PlatformInstance(String id, Kind kind, State state, String address, String failureDomain) {

    /** What an instance runs. */
    public enum Kind {
      /** An instance of this system. */
      ENTRY,
      /** A back end. */
      TARGET
    }

    /** Whether an instance takes work. */
    public enum State {
      /** The platform has not been told of its end. */
      LIVE,
      /** It drains and ends soon. */
      LEAVING
    }
  }
}
