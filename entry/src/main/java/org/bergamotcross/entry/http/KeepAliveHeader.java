package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Parses the Keep-Alive header of a target's response. */
final class KeepAliveHeader {
  private static final Pattern TIMEOUT = Pattern.compile("(?i)timeout\\s*=\\s*(\\d{1,6})");

  private KeepAliveHeader() {}

  /**
   * Returns how long the target keeps an idle connection open.
   *
   * @param response the response
   * @return the value of the {@code timeout} parameter, or empty if it is missing or invalid
   */
  static Optional<Duration> timeout(HttpResponse response) {
    return response
        .getHeader("Keep-Alive")
        .map(header -> TIMEOUT.matcher(header.value()))
        .filter(Matcher::find)
        .map(matcher -> Duration.ofSeconds(Long.parseLong(matcher.group(1))));
  }
}
