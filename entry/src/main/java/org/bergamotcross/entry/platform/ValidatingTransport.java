package org.bergamotcross.entry.platform;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.entry.framing.ResponseValidator;

/**
 * Connects to IP addresses and fails a connection that receives an invalid response.
 *
 * <p>For clients that send one request at a time on a connection, and no HEAD requests.
 */
public final class ValidatingTransport extends ClientTransport {
  private static final LiteralAddressTransport TCP = new LiteralAddressTransport();

  /** Creates a transport; each of its connections has a validator of its own. */
  public ValidatingTransport() {}

  @Override
  public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    return TCP.connectTo(host, port, settings, system)
        .statefulMap(
            ResponseValidator::new,
            (validator, bytes) -> {
              validator.check(bytes);
              return Pair.create(validator, bytes);
            },
            validator -> Optional.empty());
  }
}
