package org.bergamotcross.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Waits until instances report that they have applied the log up to an offset. */
final class RolloutWaiter {
  private RolloutWaiter() {}

  /**
   * Polls the status of the instances until all have reached the offset or the time limit is over.
   *
   * @param instances the operations addresses of the instances
   * @param offset the offset that each instance must reach
   * @param limit the time limit
   * @return the instances that have not reported the offset within the time limit
   */
  static List<InetSocketAddress> awaitOffset(
      List<InetSocketAddress> instances, long offset, TimeLimit limit) {
    List<InetSocketAddress> missing = new ArrayList<>(instances);
    if (missing.isEmpty()) {
      return missing;
    }
    try (InstanceClient client = new InstanceClient()) {
      do {
        client.fetchStatuses(List.copyOf(missing)).stream()
            .filter(
                status ->
                    status instanceof InstanceStatus.Reported reported
                        && reported.offset() >= offset)
            .forEach(status -> missing.remove(status.address()));
      } while (!missing.isEmpty() && limit.pauseBeforeRetry());
    }
    return missing;
  }

  static String formatAddresses(List<InetSocketAddress> instances) {
    return String.join(", ", instances.stream().map(InstanceClient::formatAddress).toList());
  }
}
