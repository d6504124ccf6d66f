package org.bergamotcross.standin;

import java.time.Duration;

/** What can be changed while the platform stand-in runs. */
sealed interface PlatformChange {

  record SetFault(PlatformFault fault, FaultScope scope) implements PlatformChange {}

  record SetRetention(int records) implements PlatformChange {}

  record SetListLag(Duration lag) implements PlatformChange {}

  record Register(InstanceListEntry instance) implements PlatformChange {}

  record Remove(String id) implements PlatformChange {}
}
