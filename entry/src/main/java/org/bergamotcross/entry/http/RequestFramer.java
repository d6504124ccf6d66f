package org.bergamotcross.entry.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.entry.framing.ChunkSize;
import org.bergamotcross.entry.framing.Utf8Sequence;

/**
 * Finds the end of each request on a caller's connection and frames its body anew, before Pekko
 * parses it. Not thread-safe.
 *
 * <p>Pekko keeps a chunk until its last byte has arrived, and makes several objects of each chunk
 * of a read. Here the chunks of one read become one chunk, and a part of a chunk is passed on as it
 * arrives. A head is passed on as a whole, so that it is not parsed again with each read.
 *
 * <p>Pekko completes a character at the end of a field with the bytes of the line end, and drops
 * the next field. Blanks complete it here; at the end of a field, they are no part of its value.
 */
final class RequestFramer {
  /** Ends a connection whose bytes are no request, or whose request exceeds a bound. */
  static final class InvalidRequestException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
      super(message);
    }
  }

  /** The part of a request that the next byte belongs to. */
  private sealed interface Part {
    /** A request line and its headers. */
    record Head() implements Part {}

    /** A body with a length. */
    record Body(long remaining) implements Part {}

    /** The line with the size of a chunk. */
    record ChunkSize() implements Part {}

    /** The content of a chunk. */
    record ChunkContent(long remaining) implements Part {}

    /** The line end behind the content of a chunk. */
    record ChunkEnd() implements Part {}

    /** The lines behind the last chunk, which are not passed on. */
    record Trailers(int length) implements Part {}

    /** Bytes behind a head whose framing is not certain; they are dropped. */
    record Unframed() implements Part {}
  }

  // A size line with an extension of the length that Pekko accepts.
  private static final int MAX_SIZE_LINE_BYTES = 320;

  private final int maxHeadBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(0);
  private ByteArrayOutputStream head = new ByteArrayOutputStream(0);
  private boolean requestLineSeen;
  private int missingCharacterBytes;
  private Part part = new Part.Head();
  private byte[] read = {};
  private int position;

  /**
   * Creates a framer at the start of a connection.
   *
   * @param maxHeadBytes the longest head, and the longest trailers
   */
  RequestFramer(int maxHeadBytes) {
    this.maxHeadBytes = maxHeadBytes;
  }

  /**
   * Takes the bytes of one read; the bytes of the previous one must have been polled.
   *
   * @param bytes the bytes
   */
  void add(ByteString bytes) {
    read = bytes.toArray();
    position = 0;
  }

  /**
   * Returns how many bytes are held because they can't be passed on yet.
   *
   * @return the number of bytes
   */
  int heldBytes() {
    return head.size() + unreadBytes();
  }

  /**
   * Returns how many bytes of the last read have not been polled.
   *
   * @return the number of bytes
   */
  int unreadBytes() {
    return read.length - position;
  }

  /**
   * Tells whether a request has begun whose end has not arrived.
   *
   * @return false between two requests
   */
  boolean isInsideRequest() {
    return !(part instanceof Part.Head) || head.size() > 0;
  }

  /**
   * Returns the next bytes for the parser, which belong to one request.
   *
   * @return the bytes, or empty if the next read is needed
   * @throws InvalidRequestException if the bytes are no request within the bounds
   */
  Optional<ByteString> poll() throws InvalidRequestException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream content = new ByteArrayOutputStream(0);
    boolean requestEnded = false;
    while (position < read.length && !requestEnded) {
      requestEnded =
          switch (part) {
            case Part.Head ignored -> readHead(output);
            case Part.Body body -> readBody(body, output);
            case Part.ChunkSize ignored -> readChunkSize();
            case Part.ChunkContent chunk -> readChunkContent(chunk, content);
            case Part.ChunkEnd ignored -> readChunkEnd();
            case Part.Trailers trailers -> readTrailers(trailers, content, output);
            case Part.Unframed ignored -> dropRead();
          };
    }
    writeChunk(content, output);
    if (position == read.length) {
      read = new byte[0];
      position = 0;
    }
    return Optional.of(output)
        .filter(bytes -> bytes.size() > 0)
        .map(bytes -> ByteString.fromArrayUnsafe(bytes.toByteArray()));
  }

  private boolean readHead(ByteArrayOutputStream output) throws InvalidRequestException {
    byte next = read[position++];
    if (next == '\r' || next == '\n') {
      completeCharacter();
    } else {
      missingCharacterBytes =
          Math.max(missingCharacterBytes, Utf8Sequence.length(Byte.toUnsignedInt(next))) - 1;
    }
    head.write(next);
    if (head.size() > maxHeadBytes) {
      throw new InvalidRequestException("the head is longer than " + maxHeadBytes + " bytes");
    }
    if (next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      return false;
    }
    boolean blank = line.size() == 0;
    line.reset();
    if (!blank || !requestLineSeen) {
      requestLineSeen |= !blank;
      return false;
    }
    byte[] bytes = head.toByteArray();
    output.writeBytes(bytes);
    head = new ByteArrayOutputStream(0);
    requestLineSeen = false;
    part =
        switch (RequestFraming.of(new String(bytes, StandardCharsets.ISO_8859_1))) {
          case RequestFraming.Length length when length.bytes() == 0 -> new Part.Head();
          case RequestFraming.Length length -> new Part.Body(length.bytes());
          case RequestFraming.Chunked ignored -> new Part.ChunkSize();
          case RequestFraming.Uncertain ignored -> new Part.Unframed();
        };
    return part instanceof Part.Head;
  }

  private void completeCharacter() {
    head.writeBytes(" ".repeat(missingCharacterBytes).getBytes(StandardCharsets.US_ASCII));
    missingCharacterBytes = 0;
  }

  private boolean readBody(Part.Body body, ByteArrayOutputStream output) {
    int length = (int) Math.min(body.remaining(), read.length - position);
    output.write(read, position, length);
    position += length;
    boolean ended = length == body.remaining();
    part = ended ? new Part.Head() : new Part.Body(body.remaining() - length);
    return ended;
  }

  private boolean readChunkSize() throws InvalidRequestException {
    byte next = read[position++];
    if (next != '\n') {
      line.write(next);
      if (line.size() > MAX_SIZE_LINE_BYTES) {
        throw new InvalidRequestException("the size of a chunk has no end");
      }
      return false;
    }
    long size =
        ChunkSize.parse(line.toString(StandardCharsets.ISO_8859_1))
            .orElseThrow(
                () ->
                    new InvalidRequestException(
                        "expected the size of a chunk in hexadecimal digits"));
    line.reset();
    part = size == 0 ? new Part.Trailers(0) : new Part.ChunkContent(size);
    return false;
  }

  private boolean readChunkContent(Part.ChunkContent chunk, ByteArrayOutputStream content) {
    int length = (int) Math.min(chunk.remaining(), read.length - position);
    content.write(read, position, length);
    position += length;
    part =
        length == chunk.remaining()
            ? new Part.ChunkEnd()
            : new Part.ChunkContent(chunk.remaining() - length);
    return false;
  }

  private boolean readChunkEnd() throws InvalidRequestException {
    byte next = read[position++];
    if (next == '\n') {
      part = new Part.ChunkSize();
    } else if (next != '\r') {
      throw new InvalidRequestException("expected a line end behind a chunk");
    }
    return false;
  }

  private boolean readTrailers(
      Part.Trailers trailers, ByteArrayOutputStream content, ByteArrayOutputStream output)
      throws InvalidRequestException {
    byte next = read[position++];
    if (trailers.length() > maxHeadBytes) {
      throw new InvalidRequestException("the trailers are longer than " + maxHeadBytes + " bytes");
    }
    part = new Part.Trailers(trailers.length() + 1);
    if (next != '\n') {
      if (next != '\r' && line.size() == 0) {
        line.write(next);
      }
      return false;
    }
    boolean blank = line.size() == 0;
    line.reset();
    if (!blank) {
      return false;
    }
    writeChunk(content, output);
    content.reset();
    output.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    part = new Part.Head();
    return true;
  }

  private boolean dropRead() {
    position = read.length;
    return false;
  }

  private static void writeChunk(ByteArrayOutputStream content, ByteArrayOutputStream output) {
    if (content.size() > 0) {
      output.writeBytes(
          (Integer.toHexString(content.size()) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      output.writeBytes(content.toByteArray());
      output.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
    }
  }
}
