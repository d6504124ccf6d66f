package org.bergamotcross.entry.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMessage;

/** Finds hop-by-hop headers, which apply to one connection only and are never forwarded. */
final class HopByHopHeaders {
  private static final String CONNECTION = "connection";
  private static final Set<String> FIXED_NAMES =
      Set.of(
          CONNECTION,
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings",
          "content-length",
          "content-type");

  private HopByHopHeaders() {}

  /**
   * Returns the names of the headers that must not be forwarded. They include Content-Length and
   * Content-Type, which Pekko keeps in the entity.
   *
   * @param message a request or a response
   * @return names in lower case, including those that Connection headers list
   */
  static Set<String> names(HttpMessage message) {
    Set<String> names = new HashSet<>(FIXED_NAMES);
    for (HttpHeader header : message.getHeaders()) {
      if (header.lowercaseName().equals(CONNECTION)) {
        for (String name : header.value().split(",", -1)) {
          names.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    return names;
  }

  /**
   * Tells whether the sender closes the connection after this message.
   *
   * @param message a request or a response
   * @return whether a Connection header lists {@code close}
   */
  static boolean closesConnection(HttpMessage message) {
    return names(message).contains("close");
  }
}
