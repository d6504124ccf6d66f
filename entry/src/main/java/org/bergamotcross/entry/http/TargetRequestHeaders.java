package org.bergamotcross.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.entry.AdmittedRequest;
import org.bergamotcross.kernel.ClockReading;

/** Builds the headers of a request to a target. */
final class TargetRequestHeaders {
  // Addressed to this instance and never forwarded; HeaderNames lists the configurable ones.
  private static final Set<String> DROPPED_HEADERS =
      Set.of(
          CallerRequestHead.AUTHORIZATION,
          CallerRequestHead.API_KEY,
          // Pekko's server answers "Expect: 100-continue" before it reads the body.
          "expect");

  private TargetRequestHeaders() {}

  /**
   * Builds the headers of one attempt.
   *
   * <p>The Host header and the request line are forwarded as the caller sent them.
   *
   * @param caller the caller's request
   * @param admitted the admission decision on the request
   * @param target the target
   * @param attempt the number of the attempt
   * @param names the configured header names
   * @param now the present time
   * @return the headers, none of which contains an API key
   */
  static List<HttpHeader> build(
      HttpRequest caller,
      AdmittedRequest admitted,
      Target target,
      int attempt,
      HeaderNames names,
      ClockReading now) {
    Set<String> dropped = HopByHopHeaders.names(caller);
    List<String> keys = admitted.request().keys();
    List<HttpHeader> headers = new ArrayList<>();
    for (HttpHeader header : caller.getHeaders()) {
      String name = header.lowercaseName();
      if (!DROPPED_HEADERS.contains(name)
          && !names.isReservedInRequests(name)
          && !dropped.contains(name)
          && !containsApiKey(header.value(), keys)) {
        headers.add(header);
      }
    }
    headers.add(RawHeader.create(names.requestId(), admitted.request().id()));
    admitted
        .organisation()
        .ifPresent(id -> headers.add(RawHeader.create(names.organisation(), id.value())));
    ClockReading deadline = admitted.deadline();
    add(headers, names.deadline(), deadline.wallMillis());
    add(headers, names.timeLeft(), Math.max(1, deadline.since(now).toMillis()));
    add(headers, names.attempt(), attempt);
    names
        .expectedTarget()
        .ifPresent(name -> headers.add(RawHeader.create(name, target.id().value())));
    return headers;
  }

  private static void add(List<HttpHeader> headers, Optional<String> name, long value) {
    name.ifPresent(n -> headers.add(RawHeader.create(n, Long.toString(value))));
  }

  /** Detects an API key in any header, for example in X-Forwarded-Authorization. */
  private static boolean containsApiKey(String value, List<String> keys) {
    return keys.stream().anyMatch(value::contains);
  }
}
