package org.bergamotcross.entry.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMessage;

/** Finds the headers that belong to one connection and are never passed on. */
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
   * Returns the names of the headers that end here. Length and type of the body travel with the
   * body in Pekko's model.
   *
   * @param message a request or a response
   * @return names in lower case, with those that Connection headers name
   */
  static Set<String> names(HttpMessage message) {
    Set<String> named = new HashSet<>(FIXED_NAMES);
    for (HttpHeader header : message.getHeaders()) {
      if (header.lowercaseName().equals(CONNECTION)) {
        for (String name : header.value().split(",", -1)) {
          named.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    return named;
  }

  /**
   * Tells whether the sender closes the connection after this message.
   *
   * @param message a request or a response
   * @return whether a Connection header names close
   */
  static boolean closesConnection(HttpMessage message) {
    return names(message).contains("close");
  }
}
