package org.bergamotcross.entry.http;

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
 * Counts the bytes that arrive on one connection.
 *
 * <p>Pekko keeps bytes that follow a complete response and takes them for the answer to the next
 * request. The count shows that such an answer arrived before the request was sent.
 */
final class ByteCountingTransport extends ClientTransport {
  private static final LiteralAddressTransport TCP = new LiteralAddressTransport();

  private final AtomicLong receivedBytes = new AtomicLong();

  /**
   * Returns the number of bytes.
   *
   * @return the bytes received so far
   */
  long receivedBytes() {
    return receivedBytes.get();
  }

  @Override
  public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    return TCP.connectTo(host, port, settings, system).map(this::count);
  }

  private ByteString count(ByteString bytes) {
    receivedBytes.addAndGet(bytes.size());
    return bytes;
  }
}
