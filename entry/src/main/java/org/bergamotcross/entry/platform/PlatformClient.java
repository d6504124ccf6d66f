package org.bergamotcross.entry.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Accesses the platform's log service and instance list.
 *
 * <p>All methods return immediately. The stages complete on a network thread and never
 * exceptionally: each failure is a case of the sealed result type. Callbacks should do no more than
 * offer the result to a ring.
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
   * Appends a record; the client sends it once and never retries.
   *
   * @param stream the stream
   * @param data the record
   * @return the offset of the record, or what is known about the failed append
   */
  CompletionStage<AppendResult> append(String stream, byte[] data);

  /**
   * Reads records with a long poll.
   *
   * @param stream the stream
   * @param from the first offset to return
   * @param max the maximum number of records to return, at least 1
   * @param wait how long the platform waits for a record if there is none yet
   * @return a page of records, or the reason why there is none
   */
  CompletionStage<ReadResult> read(String stream, long from, int max, Duration wait);

  /**
   * Reads the list of live and leaving instances; the list may be out of date.
   *
   * @return the list, or the reason why there is none
   */
  CompletionStage<ListResult> listInstances();

  @Override
  void close();

  /** The result of an append. */
  sealed interface AppendResult {

    /**
     * The record was appended.
     *
     * @param offset the offset of the record
     */
    record Appended(long offset) implements AppendResult {}

    /**
     * The record was not appended and will not be.
     *
     * @param reason the reason, for the operator
     */
    record Unavailable(String reason) implements AppendResult {}

    /**
     * The platform rejected the record and would reject it again.
     *
     * @param status the HTTP status, 400 to 499
     * @param reason the reason, for the operator
     */
    record Refused(int status, String reason) implements AppendResult {}

    /**
     * The record may have been appended; only reading the log can tell.
     *
     * @param reason why there is no valid response, for the operator
     */
    record OutcomeUnknown(String reason) implements AppendResult {}
  }

  /** The result of a read. */
  sealed interface ReadResult {

    /**
     * A page of records in the order of their offsets.
     *
     * @param earliest the oldest retained offset
     * @param next the offset of the next append
     * @param records the records; empty if none was appended during the long poll
     */
    record Page(long earliest, long next, List<LogRecord> records) implements ReadResult {

      /** Copies the records. */
      public Page {
        records = List.copyOf(records);
      }
    }

    /**
     * The first requested offset is no longer retained.
     *
     * @param earliest the oldest retained offset
     */
    record NotRetained(long earliest) implements ReadResult {}

    /**
     * There is no response, or it is invalid.
     *
     * @param reason the reason, for the operator
     */
    record Unavailable(String reason) implements ReadResult {}
  }

  /** The result of reading the instance list. */
  sealed interface ListResult {

    /**
     * The list was read.
     *
     * @param instances the live and leaving instances that the platform knows of
     */
    record Listed(List<PlatformInstance> instances) implements ListResult {

      /** Copies the instances. */
      public Listed {
        instances = List.copyOf(instances);
      }
    }

    /**
     * There is no response, or it is invalid.
     *
     * @param reason the reason, for the operator
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
     * @param data its bytes, which must not be modified afterwards
     */
    public LogRecord(long offset, byte[] data) {
      this.offset = offset;
      this.data = data;
    }

    /**
     * Returns the position of the record in the stream.
     *
     * @return the offset
     */
    public long offset() {
      return offset;
    }

    /**
     * Returns the content of the record without copying it.
     *
     * @return the bytes, which must not be modified
     */
    public byte[] data() {
      return data;
    }
  }

  /**
   * An instance in the platform's list.
   *
   * @param id the id of the instance
   * @param kind the kind of service that it runs
   * @param state whether it is live or leaving
   * @param address the address on which it listens, as {@code ip:port}
   * @param failureDomain the failure domain in which it runs
   */
  record PlatformInstance(String id, Kind kind, State state, String address, String failureDomain) {

    /** The kind of service that an instance runs. */
    public enum Kind {
      /** An entry instance of this proxy fleet. */
      ENTRY,
      /** A target, which serves forwarded requests. */
      TARGET
    }

    /** The state of an instance in the list. */
    public enum State {
      /** The instance has not announced that it is leaving. */
      LIVE,
      /** The instance is draining and will end soon. */
      LEAVING
    }
  }
}
