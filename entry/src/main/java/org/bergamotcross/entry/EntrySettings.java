package org.bergamotcross.entry;

import java.net.InetSocketAddress;
import org.bergamotcross.kernel.Setting;

/** The settings of an entry instance that its plug-ins read. */
public final class EntrySettings {
  /** The name of the instance. */
  public static final Setting<String> ID = Setting.name("instance", "id");

  /** The failure domain of the instance. */
  public static final Setting<String> FAILURE_DOMAIN = Setting.name("instance", "failure-domain");

  /** Where callers connect. */
  public static final Setting<InetSocketAddress> CALLERS = Setting.address("listen", "callers");

  /** Where peers connect. */
  public static final Setting<InetSocketAddress> PEERS = Setting.address("listen", "peers");

  /** Where operators connect. */
  public static final Setting<InetSocketAddress> OPERATIONS =
      Setting.address("listen", "operations");

  /** Where the platform answers. */
  public static final Setting<InetSocketAddress> PLATFORM = Setting.address("platform", "address");

  /** The number of messages that one ring holds. */
  public static final Setting<Integer> RING_CAPACITY =
      Setting.integer("limits", "ring-capacity", 16, 1_000_000).orDefault("4096");

  /** The number of requests that wait for a target. */
  public static final Setting<Integer> QUEUE_CAPACITY =
      Setting.integer("limits", "queue-capacity", 1, 1_000_000).orDefault("1024");

  /** The largest body of a request, in bytes. */
  public static final Setting<Integer> MAX_BODY_BYTES =
      Setting.integer("limits", "max-body-bytes", 1, 1 << 30).orDefault("1048576");

  /** The longest time for a request, in milliseconds. */
  public static final Setting<Integer> MAX_TIMEOUT_MS =
      Setting.integer("limits", "max-timeout-ms", 1, 60_000).orDefault("30000");

  private EntrySettings() {}
}
