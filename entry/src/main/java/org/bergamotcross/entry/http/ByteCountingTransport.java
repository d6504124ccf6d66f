package org.bergamotcross.entry.http;

import java.io.IOException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.entry.platform.LiteralAddressTransport;

/**
 * Counts the bytes received on one connection, which guards against response smuggling and against
 * responses that never end.
 *
 * <p>Pekko keeps bytes that follow a complete response and parses them as the response to the next
 * request. The count reveals that such a response arrived before that request was sent. Pekko also
 * collects a chunk size and a chunk until they are complete, without a limit on the former.
 */
final class ByteCountingTransport extends ClientTransport {
  private static final LiteralAddressTransport TCP = new LiteralAddressTransport();

  /** Exceeds the largest chunk that Pekko is configured to accept, 256 KiB, and its size line. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 320 << 10;

  /** Fails the connection of a target that sends bytes without end that complete nothing. */
  private static final class EndlessMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    EndlessMessageException() {
      super("more than " + MAX_BYTES_WITHOUT_PROGRESS + " bytes complete no part of a response");
    }
  }

  private final AtomicLong receivedBytes = new AtomicLong();
  private volatile long receivedBytesAtProgress;

  /**
   * Returns how many bytes the connection has received.
   *
   * @return the number of bytes since the connection was opened
   */
  long receivedBytes() {
    return receivedBytes.get();
  }

  /** Records that a response head or a part of a body has been parsed. */
  void markProgress() {
    receivedBytesAtProgress = receivedBytes.get();
  }

  @Override
  public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    return TCP.connectTo(host, port, settings, system).map(this::count);
  }

  private ByteString count(ByteString bytes) throws EndlessMessageException {
    long received = receivedBytes.addAndGet(bytes.size());
    if (received - receivedBytesAtProgress > MAX_BYTES_WITHOUT_PROGRESS) {
      throw new EndlessMessageException();
    }
    return bytes;
  }
}
