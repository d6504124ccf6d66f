package org.bergamotcross.entry.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.Settings;

/**
 * The bounds of what callers may make an instance hold.
 *
 * @param heldBytes the memory for all callers' connections
 * @param connections the most connections
 * @param headBytes the longest request head
 * @param stallTimeout how long a connection inside a request or a response waits for its caller
 */
record CallerLimits(long heldBytes, int connections, int headBytes, Duration stallTimeout) {
  private static final Setting<Integer> BUFFERED_REQUEST_BYTES =
      Setting.integer("callers", "buffered-request-bytes", 0, Integer.MAX_VALUE).orDefault("0");
  private static final Setting<Integer> MAX_HEAD_BYTES =
      Setting.integer("callers", "max-head-bytes", 1_024, 1 << 20).orDefault("65536");
  private static final Setting<Integer> STALL_TIMEOUT_MS =
      Setting.integer("callers", "stall-timeout-ms", 100, 600_000).orDefault("60000");

  /** Leaves the other half to the duties and to responses that are read in full. */
  private static final int HEAP_DIVISOR = 2;

  // Far above what a load balancer opens.
  private static final int MAX_CONNECTIONS = 16_384;
  // Half of the descriptors are left to connections to targets and peers.
  private static final int DESCRIPTORS_PER_CONNECTION = 2;
  private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
  private static final String DESCRIPTOR_LIMIT = "Max open files";

  /** The settings that {@link #of} reads. */
  static List<Setting<?>> settings() {
    return List.of(BUFFERED_REQUEST_BYTES, MAX_HEAD_BYTES, STALL_TIMEOUT_MS);
  }

  static CallerLimits of(Settings settings) {
    int configured = settings.value(BUFFERED_REQUEST_BYTES);
    long heldBytes = configured > 0 ? configured : Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    int connections =
        descriptorLimit()
            .map(limit -> (int) Math.min(MAX_CONNECTIONS, limit / DESCRIPTORS_PER_CONNECTION))
            .orElse(MAX_CONNECTIONS);
    return new CallerLimits(
        heldBytes,
        connections,
        settings.value(MAX_HEAD_BYTES),
        Duration.ofMillis(settings.value(STALL_TIMEOUT_MS)));
  }

  /** Returns the limit of this process; empty where the system doesn't tell it. */
  private static Optional<Long> descriptorLimit() {
    try {
      return Files.readAllLines(PROCESS_LIMITS).stream()
          .filter(line -> line.startsWith(DESCRIPTOR_LIMIT))
          .map(line -> line.substring(DESCRIPTOR_LIMIT.length()).strip().split("\\s+", 2)[0])
          .filter(soft -> soft.matches("[0-9]{1,18}"))
          .map(Long::valueOf)
          .findFirst();
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
