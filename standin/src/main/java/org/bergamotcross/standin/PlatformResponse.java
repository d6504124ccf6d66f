package org.bergamotcross.standin;

import java.util.List;

/** What the platform answers, apart from its encoding. */
sealed interface PlatformResponse {

  record Appended(long offset) implements PlatformResponse {}

  /** Records in order; {@code next} is the offset that the next append gets. */
  record Page(long earliest, long next, List<StoredRecord> records) implements PlatformResponse {}

  record Trimmed(long earliest) implements PlatformResponse {}

  record Instances(List<InstanceListEntry> entries) implements PlatformResponse {}

  record Unavailable() implements PlatformResponse {}

  record CloseConnection() implements PlatformResponse {}
}
