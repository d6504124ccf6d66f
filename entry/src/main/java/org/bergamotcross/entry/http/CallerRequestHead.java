package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.bergamotcross.core.admission.Refusal;

/**
 * The parts of a caller's request head that this proxy acts on.
 *
 * @param id the request id, sent by the caller or else generated
 * @param keys the distinct API keys, in plain text
 * @param host the Host header in lower case, without the port
 * @param idempotencyKey the idempotency key
 * @param timeout how long the caller waits for the response
 * @param problem the refusal for the first invalid header
 */
record CallerRequestHead(
    String id,
    List<String> keys,
    Optional<String> host,
    Optional<String> idempotencyKey,
    Optional<Duration> timeout,
    Optional<Refusal> problem) {
  static final String AUTHORIZATION = "authorization";
  static final String API_KEY = "x-api-key";

  private static final String HOST = "host";
  private static final String BEARER = "bearer ";
  // Visible ASCII without quotes, because tokens are written to log lines and headers unescaped.
  private static final Pattern TOKEN = Pattern.compile("[!#-~]{1,128}");
  private static final Pattern MILLIS = Pattern.compile("[1-9]\\d{0,8}");

  /**
   * Reads the headers of a request; header names are case-insensitive.
   *
   * @param request the request
   * @param names the configured header names
   * @return the parsed head
   */
  static CallerRequestHead read(HttpRequest request, HeaderNames names) {
    HeaderParser reader = new HeaderParser(names);
    for (HttpHeader header : request.getHeaders()) {
      reader.read(header.lowercaseName(), header.value().strip());
    }
    return new CallerRequestHead(
        reader.id.orElseGet(() -> UUID.randomUUID().toString()),
        List.copyOf(reader.keys),
        reader.host,
        reader.idempotencyKey,
        reader.timeout,
        reader.problems.stream().findFirst());
  }

  private static final class HeaderParser {
    private final HeaderNames names;
    private final Set<String> keys = new LinkedHashSet<>();
    private final List<Refusal> problems = new ArrayList<>();
    private Optional<String> id = Optional.empty();
    private Optional<String> idempotencyKey = Optional.empty();
    private Optional<Duration> timeout = Optional.empty();
    private Optional<String> host = Optional.empty();

    HeaderParser(HeaderNames names) {
      this.names = names;
    }

    void read(String name, String value) {
      if (name.equals(AUTHORIZATION)) {
        parseBearerToken(value).ifPresent(keys::add);
      } else if (name.equals(API_KEY)) {
        keys.add(value);
      } else if (name.equals(HOST)) {
        host = Optional.of(withoutPort(value.toLowerCase(Locale.ROOT)));
      } else if (HeaderNames.matches(names.requestId(), name)) {
        id =
            requireSingleValue(
                id, parseToken(value), names.requestId(), "1 to 128 visible letters");
      } else if (HeaderNames.matches(names.idempotencyKey(), name)) {
        idempotencyKey =
            requireSingleValue(
                idempotencyKey,
                parseToken(value),
                names.idempotencyKey(),
                "1 to 128 visible letters");
      } else if (HeaderNames.matches(names.timeout(), name)) {
        timeout =
            requireSingleValue(
                timeout, parseMillis(value), names.timeout(), "a whole number above 0");
      }
    }

    /** Rejects an invalid value, and a second value that differs from the first one. */
    private <T> Optional<T> requireSingleValue(
        Optional<T> previous, Optional<T> value, String header, String expected) {
      if (value.isEmpty()) {
        problems.add(new Refusal.BadRequestHeader(header, expected));
        return previous;
      }
      if (previous.isPresent() && !previous.equals(value)) {
        problems.add(new Refusal.BadRequestHeader(header, "one value"));
      }
      return value;
    }
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
  }

  private static Optional<String> parseBearerToken(String value) {
    return value.toLowerCase(Locale.ROOT).startsWith(BEARER)
        ? Optional.of(value.substring(BEARER.length()).strip())
        : Optional.empty();
  }

  private static Optional<String> parseToken(String value) {
    return Optional.of(value).filter(v -> TOKEN.matcher(v).matches());
  }

  private static Optional<Duration> parseMillis(String value) {
    return Optional.of(value)
        .filter(v -> MILLIS.matcher(v).matches())
        .map(v -> Duration.ofMillis(Long.parseLong(v)));
  }
}
