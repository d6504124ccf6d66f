package org.bergamotcross.entry.http;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Reads the Keep-Alive header of a target. */
final class KeepAliveHeader {
  private static final Pattern TIMEOUT = Pattern.compile("(?i)timeout\\s*=\\s*(\\d{1,6})");

  private KeepAliveHeader() {}

  /**
   * Reads the time for which the target keeps an idle connection.
   *
   * @param response the response
   * @return the time, or nothing when the header is missing or says nothing of it
   */
  static Optional<Duration> timeout(HttpResponse response) {
    return response
        .getHeader("Keep-Alive")
        .map(header -> TIMEOUT.matcher(header.value()))
        .filter(Matcher::find)
        .map(matcher -> Duration.ofSeconds(Long.parseLong(matcher.group(1))));
  }
}
