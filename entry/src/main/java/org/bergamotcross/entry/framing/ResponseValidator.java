package org.bergamotcross.entry.framing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.apache.pekko.util.ByteString;

/**
 * Follows the responses on a connection that carries one request at a time, before Pekko parses
 * them. Rejects those whose framing is invalid, and holds back bytes that belong to no response.
 *
 * <p>Pekko's parser is lenient: it reads some invalid lengths and chunk sizes as numbers and
 * ignores a transfer encoding that it can't parse. A damaged response could look complete with
 * another body than the sender's. The parser also keeps bytes that follow a complete response, and
 * takes them for the start of the next one.
 *
 * <p>Thread-safe: the bytes arrive on another thread than the one that sends a request. A byte is
 * seen either before the request, and belongs to no response, or after it.
 */
public final class ResponseValidator {

  /** What the next byte belongs to. */
  private sealed interface Part {
    /** Nothing: no request was sent since the last response ended. */
    record NoResponse() implements Part {}

    /**
     * Nothing: bytes that belong to no response have arrived, and end the use of the connection.
     */
    record Surplus() implements Part {}
  }

  /** A part of a response. */
  private sealed interface ResponsePart extends Part {
    /** A status line or a field, or the empty line behind them. */
    record HeadLine() implements ResponsePart {}

    /** A body with a length. */
    record Body(long remaining) implements ResponsePart {}

    /** The line with the size of a chunk. */
    record ChunkSizeLine() implements ResponsePart {}

    /** The content of a chunk. */
    record ChunkContent(long remaining) implements ResponsePart {}

    /** The line end behind the content of a chunk. */
    record ChunkEnd() implements ResponsePart {}

    /** The lines behind the last chunk. */
    record Trailers() implements ResponsePart {}

    /** A body that ends with the connection. */
    record UntilClose() implements ResponsePart {}
  }

  // Above the longest line that Pekko accepts: a header with a value of 8 KiB.
  private static final int MAX_LINE_BYTES = 16 << 10;

  // Whole, so that a body whose last byte was cut off is not taken for another response.
  private static final byte[] RESPONSE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream line = new ByteArrayOutputStream(0);
  private ResponseHead head = new ResponseHead();
  private Part part = new Part.NoResponse();
  private boolean bodyExpected = true;
  private byte[] read = {};
  private int position;

  /** Creates a validator at the start of a connection. */
  public ResponseValidator() {}

  /**
   * Records that a request is about to be sent, so that a response begins with the next byte.
   *
   * @param responseHasBody false if the request is a HEAD request
   * @return false if the request must not be sent on this connection, because the response to an
   *     earlier one has not ended or bytes that belong to no response have arrived
   */
  public synchronized boolean expectResponse(boolean responseHasBody) {
    if (!isReady()) {
      return false;
    }
    bodyExpected = responseHasBody;
    part = new ResponsePart.HeadLine();
    return true;
  }

  /**
   * Tells whether the connection can carry a request.
   *
   * @return whether all responses have ended and no byte has arrived that belongs to none
   */
  public synchronized boolean isReady() {
    return part instanceof Part.NoResponse;
  }

  /**
   * Tells whether bytes that belong to no response have arrived.
   *
   * @return true from the first such byte on
   */
  public synchronized boolean hasSurplus() {
    return part instanceof Part.Surplus;
  }

  /**
   * Checks the next bytes that the connection received.
   *
   * @param bytes the bytes of one read
   * @return those of the bytes that belong to the expected response
   * @throws InvalidResponseException if they are no part of a valid response, or if bytes behind a
   *     response may be the rest of its body
   */
  public synchronized ByteString check(ByteString bytes) throws InvalidResponseException {
    read = bytes.toArrayUnsafe();
    position = 0;
    while (position < read.length && part instanceof ResponsePart current) {
      part = readPart(current);
    }
    if (position < read.length) {
      part = new Part.Surplus();
      checkBehindResponse();
    }
    read = new byte[0];
    return bytes.take(position);
  }

  private Part readPart(ResponsePart current) throws InvalidResponseException {
    return switch (current) {
      case ResponsePart.HeadLine line -> readHeadLine(line);
      case ResponsePart.Body body -> {
        long remaining = body.remaining() - skip(body.remaining());
        yield remaining == 0 ? new Part.NoResponse() : new ResponsePart.Body(remaining);
      }
      case ResponsePart.ChunkSizeLine line -> readChunkSize(line);
      case ResponsePart.ChunkContent chunk -> {
        long remaining = chunk.remaining() - skip(chunk.remaining());
        yield remaining == 0
            ? new ResponsePart.ChunkEnd()
            : new ResponsePart.ChunkContent(remaining);
      }
      case ResponsePart.ChunkEnd end -> readChunkEnd(end);
      case ResponsePart.Trailers trailers -> readTrailer(trailers);
      case ResponsePart.UntilClose body -> skipRead(body);
    };
  }

  /**
   * Rejects a response with other bytes behind it in the same read, unless those begin another
   * response: the response may tell a wrong length, and they may be the rest of its body. See
   * docs/design/response-end.md.
   */
  private void checkBehindResponse() throws InvalidResponseException {
    boolean behindResponse = position > 0 && bodyExpected;
    if (behindResponse && !isResponseStart()) {
      throw new InvalidResponseException(
          "expected the end of the response, found " + (read.length - position) + " more bytes");
    }
  }

  private boolean isResponseStart() {
    int end = position + RESPONSE_START.length;
    return Arrays.equals(RESPONSE_START, Arrays.copyOfRange(read, position, end));
  }

  private Part readHeadLine(Part current) throws InvalidResponseException {
    Optional<String> next = readLine();
    if (next.isEmpty()) {
      return current;
    }
    if (!isEmptyLine(next.get())) {
      head.add(next.get());
      return current;
    }
    ResponseFraming framing = head.framing(bodyExpected);
    head = new ResponseHead();
    return switch (framing) {
      case ResponseFraming.Interim ignored -> new ResponsePart.HeadLine();
      case ResponseFraming.Length length when length.bytes() == 0 -> new Part.NoResponse();
      case ResponseFraming.Length length -> new ResponsePart.Body(length.bytes());
      case ResponseFraming.Chunked ignored -> new ResponsePart.ChunkSizeLine();
      case ResponseFraming.UntilClose ignored -> new ResponsePart.UntilClose();
    };
  }

  private Part readChunkSize(Part current) throws InvalidResponseException {
    Optional<String> next = readLine();
    if (next.isEmpty()) {
      return current;
    }
    long size =
        ChunkSize.parse(next.get())
            .orElseThrow(
                () ->
                    new InvalidResponseException(
                        "expected the size of a chunk in hexadecimal digits"));
    return size == 0 ? new ResponsePart.Trailers() : new ResponsePart.ChunkContent(size);
  }

  private Part readChunkEnd(Part current) throws InvalidResponseException {
    Optional<String> next = readLine();
    if (next.isEmpty()) {
      return current;
    }
    if (!isEmptyLine(next.get())) {
      throw new InvalidResponseException("expected a line end behind a chunk");
    }
    return new ResponsePart.ChunkSizeLine();
  }

  private Part readTrailer(Part current) throws InvalidResponseException {
    Optional<String> next = readLine();
    if (next.isEmpty()) {
      return current;
    }
    if (isEmptyLine(next.get())) {
      return new Part.NoResponse();
    }
    ResponseField.parse(next.get());
    return current;
  }

  private static boolean isEmptyLine(String received) {
    return received.isEmpty() || received.equals("\r");
  }

  /** Returns the next line up to its line feed, or empty if that has not arrived. */
  private Optional<String> readLine() throws InvalidResponseException {
    int end = position;
    while (end < read.length && read[end] != '\n') {
      end++;
    }
    line.write(read, position, end - position);
    if (line.size() > MAX_LINE_BYTES) {
      throw new InvalidResponseException("a line is longer than " + MAX_LINE_BYTES + " bytes");
    }
    position = end;
    if (end == read.length) {
      return Optional.empty();
    }
    position++;
    String text = line.toString(StandardCharsets.ISO_8859_1);
    line.reset();
    return Optional.of(text);
  }

  /** Skips bytes of the read, at most the given number, and returns how many were skipped. */
  private long skip(long atMost) {
    int length = (int) Math.min(atMost, read.length - position);
    position += length;
    return length;
  }

  private Part skipRead(Part current) {
    position = read.length;
    return current;
  }
}
