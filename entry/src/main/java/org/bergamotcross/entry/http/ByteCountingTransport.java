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
import org.bergamotcross.entry.framing.ResponseValidator;
import org.bergamotcross.entry.platform.LiteralAddressTransport;

/**
 * Counts the bytes received on one connection, which guards against response smuggling and against
 * responses that never end, and rejects responses whose framing is invalid.
 *
 * <p>Pekko keeps bytes that follow a complete response and parses them as the response to the next
 * request. The count reveals that such a response arrived before that request was sent. Pekko also
 * collects a chunk size and a chunk until they are complete, without a limit on the former.
 *
 * <p>A late response that is cut within its status line continues with the status line of the next
 * one. Pekko discards the reason phrase, so this shows only in the bytes.
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

  private static final String MESSAGE_START = "HTTP/1.";
  private static final int MAX_STATUS_LINE_BYTES = 256;

  /** Fails a connection on which a response begins within the status line of another one. */
  private static final class MergedResponsesException extends IOException {
    private static final long serialVersionUID = 1L;

    MergedResponsesException(String line) {
      super("expected one response, found two in the status line " + line);
    }
  }

  private final ResponseValidator validator = new ResponseValidator();
  private final AtomicLong receivedBytes = new AtomicLong();
  private final StringBuilder statusLine = new StringBuilder();
  private volatile long receivedBytesAtProgress;
  private volatile boolean responseExpected;
  private boolean inStatusLine;

  /**
   * Returns how many bytes the connection has received.
   *
   * @return the number of bytes since the connection was opened
   */
  long receivedBytes() {
    return receivedBytes.get();
  }

  /**
   * Records that a request is sent, after which a response begins.
   *
   * @param bodyExpected whether the response may have a body
   */
  void expectResponse(boolean bodyExpected) {
    markProgress();
    validator.expectBody(bodyExpected);
    responseExpected = true;
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

  private ByteString count(ByteString bytes) throws IOException {
    if (responseExpected) {
      responseExpected = false;
      inStatusLine = true;
      statusLine.setLength(0);
    }
    if (inStatusLine) {
      checkStatusLine(bytes);
    }
    validator.check(bytes);
    long received = receivedBytes.addAndGet(bytes.size());
    if (received - receivedBytesAtProgress > MAX_BYTES_WITHOUT_PROGRESS) {
      throw new EndlessMessageException();
    }
    return bytes;
  }

  private void checkStatusLine(ByteString bytes) throws MergedResponsesException {
    int end = bytes.indexOf((byte) '\n', 0);
    int room = MAX_STATUS_LINE_BYTES - statusLine.length();
    statusLine.append(bytes.take(Math.min(room, end < 0 ? bytes.size() : end)).utf8String());
    inStatusLine = end < 0 && statusLine.length() < MAX_STATUS_LINE_BYTES;
    if (statusLine.indexOf(MESSAGE_START, 1) > 0) {
      throw new MergedResponsesException(statusLine.toString());
    }
  }
}
