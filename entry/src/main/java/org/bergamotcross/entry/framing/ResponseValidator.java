package org.bergamotcross.entry.framing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.pekko.util.ByteString;

/**
 * Follows the responses on a connection and rejects those whose framing is invalid, before Pekko
 * parses them. Not thread-safe, except for {@link #expectBody}.
 *
 * <p>Pekko's parser is lenient: it reads some invalid lengths and chunk sizes as numbers and
 * ignores a transfer encoding that it can't parse. A damaged response could look complete with
 * another body than the sender's.
 */
public final class ResponseValidator {

  /** The part of a response that the next byte belongs to. */
  private sealed interface Part {
    /** A status line or a field, or the empty line behind them. */
    record HeadLine() implements Part {}

    /** A body with a length. */
    record Body(long remaining) implements Part {}

    /** The line with the size of a chunk. */
    record ChunkSizeLine() implements Part {}

    /** The content of a chunk. */
    record ChunkContent(long remaining) implements Part {}

    /** The line end behind the content of a chunk. */
    record ChunkEnd() implements Part {}

    /** The lines behind the last chunk. */
    record Trailers() implements Part {}

    /** A body that ends with the connection. */
    record UntilClose() implements Part {}

    /** Bytes of the same read behind a complete response; they belong to no response. */
    record Ended() implements Part {}
  }

  // Above the longest line that Pekko accepts: a header with a value of 8 KiB.
  private static final int MAX_LINE_BYTES = 16 << 10;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream(0);
  private ResponseHead head = new ResponseHead();
  private Part part = new Part.HeadLine();
  private byte[] read = {};
  private int position;
  private volatile boolean bodyExpected = true;

  /** Creates a validator at the start of a connection that carries one request at a time. */
  public ResponseValidator() {}

  /**
   * Sets whether the next response may have a body.
   *
   * @param expected false if its request is a HEAD request
   */
  public void expectBody(boolean expected) {
    bodyExpected = expected;
  }

  /**
   * Checks the next bytes that the connection received.
   *
   * @param bytes the bytes of one read
   * @throws InvalidResponseException if they are no part of a valid response
   */
  public void check(ByteString bytes) throws InvalidResponseException {
    read = bytes.toArrayUnsafe();
    position = 0;
    if (part instanceof Part.Ended) {
      part = new Part.HeadLine();
    }
    while (position < read.length) {
      part =
          switch (part) {
            case Part.HeadLine current -> readHeadLine(current);
            case Part.Body body -> {
              long remaining = body.remaining() - skip(body.remaining());
              yield remaining == 0 ? new Part.Ended() : new Part.Body(remaining);
            }
            case Part.ChunkSizeLine current -> readChunkSize(current);
            case Part.ChunkContent chunk -> {
              long remaining = chunk.remaining() - skip(chunk.remaining());
              yield remaining == 0 ? new Part.ChunkEnd() : new Part.ChunkContent(remaining);
            }
            case Part.ChunkEnd current -> readChunkEnd(current);
            case Part.Trailers current -> readTrailer(current);
            case Part.UntilClose current -> skipRead(current);
            case Part.Ended current -> skipRead(current);
          };
    }
    read = new byte[0];
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
      case ResponseFraming.Interim ignored -> new Part.HeadLine();
      case ResponseFraming.Length length when length.bytes() == 0 -> new Part.Ended();
      case ResponseFraming.Length length -> new Part.Body(length.bytes());
      case ResponseFraming.Chunked ignored -> new Part.ChunkSizeLine();
      case ResponseFraming.UntilClose ignored -> new Part.UntilClose();
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
    return size == 0 ? new Part.Trailers() : new Part.ChunkContent(size);
  }

  private Part readChunkEnd(Part current) throws InvalidResponseException {
    Optional<String> next = readLine();
    if (next.isEmpty()) {
      return current;
    }
    if (!isEmptyLine(next.get())) {
      throw new InvalidResponseException("expected a line end behind a chunk");
    }
    return new Part.ChunkSizeLine();
  }

  private Part readTrailer(Part current) throws InvalidResponseException {
    return readLine().filter(ResponseValidator::isEmptyLine).isPresent()
        ? new Part.Ended()
        : current;
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
