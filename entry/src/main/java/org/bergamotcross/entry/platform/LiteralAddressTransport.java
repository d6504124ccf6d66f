package org.bergamotcross.entry.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.scaladsl.Http;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import scala.concurrent.duration.FiniteDuration;

/**
 * Connects to IP addresses without a name lookup.
 *
 * <p>Pekko's default transport calls its resolver for each connection, even for a literal address,
 * on a pool of up to 16 additional threads. All addresses in settings and in the platform's lists
 * are literal.
 */
public final class LiteralAddressTransport extends ClientTransport {
  /** Creates a transport without state. */
  public LiteralAddressTransport() {}

  @Override
  public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    return Tcp.get(system)
        .outgoingConnection(
            new InetSocketAddress(host, port),
            settings.getLocalAddress(),
            settings.getSocketOptions(),
            true,
            finite(settings.getConnectingTimeout()),
            finite(settings.getIdleTimeout()))
        .mapMaterializedValue(
            connected ->
                connected.thenApply(
                    tcp ->
                        new OutgoingConnection(
                            new Http.OutgoingConnection(tcp.localAddress(), tcp.remoteAddress()))));
  }

  private static Optional<Duration> finite(scala.concurrent.duration.Duration duration) {
    return duration instanceof FiniteDuration finite
        ? Optional.of(Duration.ofNanos(finite.toNanos()))
        : Optional.empty();
  }
}
