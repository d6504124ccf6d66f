package org.bergamotcross.entry.http;

import java.io.IOException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.entry.framing.ResponseFault;
import org.bergamotcross.entry.framing.ResponseValidator;
import org.bergamotcross.entry.platform.LiteralAddressTransport;
import org.bergamotcross.entry.platform.ValidatingTransport;

/**
 * Validates the responses received on one connection, and counts its bytes, which guards against
 * responses that never end.
 *
 * <p>Pekko collects a chunk size and a chunk until they are complete, without a limit on the
 * former.
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

  private final ResponseValidator validator = new ResponseValidator();
  private final Consumer<ResponseFault> faults;
  private final AtomicLong receivedBytes = new AtomicLong();
  private volatile long receivedBytesAtProgress;

  /**
   * Creates the transport of one connection.
   *
   * @param faults receives the fault that ends the connection
   */
  ByteCountingTransport(Consumer<ResponseFault> faults) {
    this.faults = faults;
  }

  /**
   * Records that a request is about to be sent, after which a response begins.
   *
   * @param responseHasBody false for a HEAD request
   * @return false if the request must not be sent on this connection
   */
  boolean expectResponse(boolean responseHasBody) {
    markProgress();
    return validator.expectResponse(responseHasBody);
  }

  /**
   * Tells whether the connection can carry a request.
   *
   * @return false while a response is awaited, and after bytes arrived that belong to none
   */
  boolean isReady() {
    return validator.isReady();
  }

  /** Records that a response head or a part of a body has been parsed. */
  void markProgress() {
    receivedBytesAtProgress = receivedBytes.get();
  }

  @Override
  public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    return ValidatingTransport.validate(
        TCP.connectTo(host, port, settings, system).map(this::count), validator, faults);
  }

  private ByteString count(ByteString bytes) throws EndlessMessageException {
    long received = receivedBytes.addAndGet(bytes.size());
    if (received - receivedBytesAtProgress > MAX_BYTES_WITHOUT_PROGRESS) {
      throw new EndlessMessageException();
    }
    return bytes;
  }
}
