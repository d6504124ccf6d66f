package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.util.Map;

/** The status that an instance reports at {@code /status}. */
sealed interface InstanceStatus {

  /** Returns the operations address of the instance. */
  InetSocketAddress address();

  /**
   * The instance reported its status.
   *
   * @param values the key=value pairs of its status page
   */
  record Reported(InetSocketAddress address, Map<String, String> values) implements InstanceStatus {
    String value(String name) {
      return values.getOrDefault(name, "-");
    }

    /** Returns the log offset up to which the instance has applied the log, or -1 for none. */
    long offset() {
      String text = value("offset");
      return text.matches("\\d{1,18}") ? Long.parseLong(text) : -1;
    }
  }

  /** The instance did not respond, or responded with an HTTP error. */
  record Unavailable(InetSocketAddress address, String reason) implements InstanceStatus {}
}
