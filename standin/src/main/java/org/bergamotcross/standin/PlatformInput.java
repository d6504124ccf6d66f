package org.bergamotcross.standin;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Messages to the duty of the platform stand-in. */
sealed interface PlatformInput {

  // The message takes ownership of the array.
  @SuppressWarnings("ArrayRecordComponent")
  record Append(
      String stream,
      byte[] data,
      Optional<String> client,
      CompletableFuture<PlatformResponse> response)
      implements PlatformInput {}

  /**
   * Reads records, by long poll if {@code maxWait} isn't zero.
   *
   * @param stream the name of the stream
   * @param from the offset of the first record to return
   * @param maxRecords the maximum number of records in the page
   * @param maxWait how long the read waits for a record at {@code from}
   * @param client the name of the client in {@code X-Instance}, if it sends one
   * @param response completed with the result
   */
  record Read(
      String stream,
      long from,
      int maxRecords,
      Duration maxWait,
      Optional<String> client,
      CompletableFuture<PlatformResponse> response)
      implements PlatformInput {}

  record ListInstances(Optional<String> client, CompletableFuture<PlatformResponse> response)
      implements PlatformInput {}

  /** The maximum wait of a long poll has elapsed. */
  record LongPollExpired(Read read) implements PlatformInput {}

  record Change(PlatformChange change, CompletableFuture<Void> applied) implements PlatformInput {}

  /** Asks for all records ever appended to a stream, including trimmed ones. */
  record History(String stream, CompletableFuture<List<StoredRecord>> response)
      implements PlatformInput {}
}
