package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Waits until instances have folded an offset. */
final class RolloutWait {
  private RolloutWait() {}

  /**
   * Asks the instances again and again.
   *
   * @param instances their operations ports
   * @param offset the offset that each must have
   * @param limit the time to wait
   * @return the instances that do not report the offset by the end
   */
  static List<InetSocketAddress> missing(
      List<InetSocketAddress> instances, long offset, TimeLimit limit) {
    List<InetSocketAddress> missing = new ArrayList<>(instances);
    if (missing.isEmpty()) {
      return missing;
    }
    try (InstanceClient client = new InstanceClient()) {
      do {
        client.statuses(List.copyOf(missing)).stream()
            .filter(s -> s instanceof InstanceStatus.Known known && known.offset() >= offset)
            .forEach(status -> missing.remove(status.address()));
      } while (!missing.isEmpty() && limit.pause());
    }
    return missing;
  }

  static String names(List<InetSocketAddress> instances) {
    return String.join(", ", instances.stream().map(InstanceClient::text).toList());
  }
}
