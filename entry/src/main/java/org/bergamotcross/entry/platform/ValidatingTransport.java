package org.bergamotcross.entry.platform;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.entry.framing.InvalidResponseException;
import org.bergamotcross.entry.framing.ResponseFault;
import org.bergamotcross.entry.framing.ResponseValidator;

/**
 * Connects to IP addresses, fails a connection that receives an invalid response, and ends one that
 * receives bytes that belong to no response.
 *
 * <p>For clients that send one request at a time on a connection, each with its whole body at once,
 * and no HEAD requests.
 */
public final class ValidatingTransport extends ClientTransport {
  private static final LiteralAddressTransport TCP = new LiteralAddressTransport();

  /** Creates a transport; each of its connections has a validator of its own. */
  public ValidatingTransport() {}

  @Override
  public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    // A pool runs this flow once for each of its connections.
    return Flow.fromMaterializer(
            (materializer, attributes) -> connection(host, port, settings, system))
        .mapMaterializedValue(connected -> connected.thenCompose(Function.identity()));
  }

  private static Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connection(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    ResponseValidator validator = new ResponseValidator();
    return Flow.<ByteString>create()
        .map(
            request -> {
              var unused = validator.expectResponse(true);
              return request;
            })
        .viaMat(
            validate(TCP.connectTo(host, port, settings, system), validator, fault -> {}),
            Keep.right());
  }

  /**
   * Passes on what belongs to the responses on a connection. Ends it behind the last of their bytes
   * when others arrive, so that a response before those is delivered.
   *
   * @param connection the connection
   * @param validator follows the responses; expects one for each request that is sent
   * @param faults receives the fault that ends the connection, at most one
   * @param <M> what the connection materializes
   * @return the connection without bytes that belong to no response
   */
  public static <M> Flow<ByteString, ByteString, M> validate(
      Flow<ByteString, ByteString, M> connection,
      ResponseValidator validator,
      Consumer<ResponseFault> faults) {
    return connection
        .map(bytes -> check(bytes, validator, faults))
        .takeWhile(bytes -> !validator.hasSurplus(), true)
        // A filter asks for one element ahead of its consumer. Without that, Pekko would not read
        // from an idle connection, and its bytes would only be noticed behind the next request.
        .filter(ByteString::nonEmpty);
  }

  private static ByteString check(
      ByteString bytes, ResponseValidator validator, Consumer<ResponseFault> faults)
      throws InvalidResponseException {
    try {
      ByteString own = validator.check(bytes);
      if (validator.hasSurplus()) {
        faults.accept(new ResponseFault.Surplus());
      }
      return own;
    } catch (InvalidResponseException e) {
      faults.accept(new ResponseFault.Invalid(e.getMessage()));
      throw e;
    }
  }
}
