package org.bergamotcross.entry.framing;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Collects what the lines of a response head say about the body. Not thread-safe. */
final class ResponseHead {
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9]{2})( .*)?");
  private static final String MESSAGE_START = "HTTP/1.";
  // Digits that fit into a long; Pekko's parser takes 2^64 + 10 for 10.
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NOT_MODIFIED = 304;
  private static final Set<Integer> STATUSES_WITHOUT_CONTENT = Set.of(204, 205);

  private final Set<Long> lengths = new HashSet<>();
  private Optional<Integer> status = Optional.empty();
  private boolean chunked;
  private boolean closesConnection;

  /**
   * Reads the next line.
   *
   * @param received the line up to its line feed, with one character for each byte
   * @throws InvalidResponseException if the line has no place in a head
   */
  void add(String received) throws InvalidResponseException {
    if (status.isEmpty()) {
      readStatusLine(ResponseField.checkLine(received));
    } else {
      readField(ResponseField.parse(received));
    }
  }

  /**
   * Tells what follows the head. All its lines must have been added.
   *
   * @param bodyExpected false if the request was a HEAD request, whose response has no body
   * @return the framing
   * @throws InvalidResponseException if the lines contradict each other or leave the end open
   */
  ResponseFraming framing(boolean bodyExpected) throws InvalidResponseException {
    int code =
        status.orElseThrow(() -> new InvalidResponseException("the head has no status line"));
    if (code < FIRST_FINAL_STATUS) {
      return new ResponseFraming.Interim();
    }
    ResponseFraming framing = framingOfFields();
    if (STATUSES_WITHOUT_CONTENT.contains(code)) {
      if (announcesBody(framing)) {
        throw new InvalidResponseException("status " + code + " with a body");
      }
      return new ResponseFraming.Length(0);
    }
    if (!bodyExpected || code == NOT_MODIFIED) {
      return new ResponseFraming.Length(0);
    }
    if (framing instanceof ResponseFraming.UntilClose && !closesConnection) {
      throw new InvalidResponseException(
          "expected Content-Length, Transfer-Encoding or Connection: close");
    }
    return framing;
  }

  private ResponseFraming framingOfFields() throws InvalidResponseException {
    if (chunked && !lengths.isEmpty()) {
      throw new InvalidResponseException("expected Content-Length or Transfer-Encoding, not both");
    }
    if (lengths.size() > 1) {
      throw new InvalidResponseException("expected one Content-Length, found " + lengths);
    }
    if (chunked) {
      return new ResponseFraming.Chunked();
    }
    return lengths.isEmpty()
        ? new ResponseFraming.UntilClose()
        : new ResponseFraming.Length(lengths.iterator().next());
  }

  private static boolean announcesBody(ResponseFraming framing) {
    return switch (framing) {
      case ResponseFraming.Length length -> length.bytes() > 0;
      case ResponseFraming.Chunked ignored -> true;
      case ResponseFraming.UntilClose ignored -> false;
      case ResponseFraming.Interim ignored -> false;
    };
  }

  private void readStatusLine(String line) throws InvalidResponseException {
    // Pekko discards the reason phrase, also when it is the status line of another response.
    if (line.indexOf(MESSAGE_START, 1) > 0) {
      throw new InvalidResponseException("expected one response, found two in the status line");
    }
    Matcher matcher = STATUS_LINE.matcher(line);
    if (!matcher.matches()) {
      throw new InvalidResponseException("expected a status line of HTTP/1.1 or HTTP/1.0");
    }
    closesConnection = matcher.group(1).equals("0");
    status = Optional.of(Integer.parseInt(matcher.group(2)));
  }

  private void readField(ResponseField field) throws InvalidResponseException {
    switch (field.name()) {
      case "content-length" -> readLength(field.value());
      case "transfer-encoding" -> readTransferEncoding(field.value());
      case "connection" ->
          closesConnection |=
              Arrays.stream(field.value().split(",", -1))
                  .map(String::strip)
                  .anyMatch("close"::equals);
      default -> {}
    }
  }

  private void readLength(String value) throws InvalidResponseException {
    if (!LENGTH.matcher(value).matches()) {
      throw new InvalidResponseException("expected a number in Content-Length");
    }
    lengths.add(Long.parseLong(value));
  }

  // Pekko ignores a Transfer-Encoding that it can't parse, and delivers the chunks with their
  // sizes.
  private void readTransferEncoding(String value) throws InvalidResponseException {
    if (chunked || !value.equals("chunked")) {
      throw new InvalidResponseException("expected Transfer-Encoding: chunked, once");
    }
    chunked = true;
  }
}
