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
 * Counts the bytes received on one connection, which guards against response smuggling.
 *
 * <p>Pekko keeps bytes that follow a complete response and parses them as the response to the next
 * request. The count reveals that such a response arrived before that request was sent.
 */
final class ByteCountingTransport extends ClientTransport {
  private static final LiteralAddressTransport TCP = new LiteralAddressTransport();

  private final AtomicLong receivedBytes = new AtomicLong();

  /**
   * Returns how many bytes the connection has received.
   *
   * @return the number of bytes since the connection was opened
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
