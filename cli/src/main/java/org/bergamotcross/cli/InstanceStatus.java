package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.util.Map;

/** What an instance says of itself at {@code /status}. */
sealed interface InstanceStatus {

  /** Returns the address of the operations port. */
  InetSocketAddress address();

  /**
   * The instance answered.
   *
   * @param values its pairs
   */
  record Known(InetSocketAddress address, Map<String, String> values) implements InstanceStatus {
    String value(String name) {
      return values.getOrDefault(name, "-");
    }

    /** Returns the offset that the instance has folded, -1 for none. */
    long offset() {
      String text = value("offset");
      return text.matches("\\d{1,18}") ? Long.parseLong(text) : -1;
    }
  }

  /** The instance gave no answer that can be understood. */
  record Silent(InetSocketAddress address, String reason) implements InstanceStatus {}
}
