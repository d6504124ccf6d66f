package org.bergamotcross.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.bergamotcross.entry.AdmittedRequest;

/** Builds the headers that a target sees. */
final class TargetHeaders {
  // The value of each is set below or is for this instance only.
  private static final Set<String> OWN =
      Set.of(
          CallerHead.AUTHORIZATION,
          CallerHead.API_KEY,
          CallerHead.REQUEST_ID,
          CallerHead.TIMEOUT,
          "x-organisation",
          "x-request-deadline",
          "x-attempt",
          // Names the target's address, which Pekko writes.
          "host",
          // Pekko's server answers it before the body is read.
          "expect",
          // Pekko would send its value as the request line.
          "raw-request-uri");

  private TargetHeaders() {}

  /**
   * Builds the headers of one attempt.
   *
   * @param caller the caller's request
   * @param admitted what was decided about it
   * @param attempt the number of the attempt
   * @return the headers, without any that holds a key
   */
  static List<HttpHeader> build(HttpRequest caller, AdmittedRequest admitted, int attempt) {
    Set<String> dropped = HopByHop.names(caller);
    List<String> keys = admitted.request().keys();
    List<HttpHeader> headers = new ArrayList<>();
    for (HttpHeader header : caller.getHeaders()) {
      String name = header.lowercaseName();
      if (!OWN.contains(name) && !dropped.contains(name) && !holdsKey(header.value(), keys)) {
        headers.add(header);
      }
    }
    headers.add(RawHeader.create("X-Request-Id", admitted.request().id()));
    headers.add(RawHeader.create("X-Organisation", admitted.organisation().value()));
    headers.add(
        RawHeader.create("X-Request-Deadline", Long.toString(admitted.deadline().wallMillis())));
    headers.add(RawHeader.create("X-Attempt", Integer.toString(attempt)));
    return headers;
  }

  /** A caller may repeat its key under another name, for example in X-Forwarded-Authorization. */
  private static boolean holdsKey(String value, List<String> keys) {
    return keys.stream().anyMatch(value::contains);
  }
}
