package org.bergamotcross.standin;

import java.time.Duration;

/** Changes to a running platform stand-in. */
sealed interface PlatformChange {

  record SetFault(PlatformFault fault, FaultScope scope) implements PlatformChange {}

  record SetRetention(int records) implements PlatformChange {}

  record SetListLag(Duration lag) implements PlatformChange {}

  record Register(InstanceListEntry instance) implements PlatformChange {}

  record Remove(String id) implements PlatformChange {}
}
