package org.bergamotcross.standin;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The messages of the platform duty. */
sealed interface PlatformInput {

  // The array is handed over with the message.
  @SuppressWarnings("ArrayRecordComponent")
  record Append(
      String stream,
      byte[] data,
      Optional<String> client,
      CompletableFuture<PlatformResponse> response)
      implements PlatformInput {}

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

  /** The longest wait of a read is over. */
  record LongPollExpired(Read read) implements PlatformInput {}

  record Change(PlatformChange change, CompletableFuture<Void> applied) implements PlatformInput {}

  record History(String stream, CompletableFuture<List<StoredRecord>> response)
      implements PlatformInput {}
}
