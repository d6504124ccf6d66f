package org.bergamotcross.standin;

import java.util.List;

/** What the platform answers, apart from its encoding. */
sealed interface PlatformAnswer {

  record Appended(long offset) implements PlatformAnswer {}

  /** Records in order; {@code next} is the offset that the next append gets. */
  record Page(long earliest, long next, List<StoredRecord> records) implements PlatformAnswer {}

  record Gone(long earliest) implements PlatformAnswer {}

  record Instances(List<ListedInstance> list) implements PlatformAnswer {}

  record Unavailable() implements PlatformAnswer {}

  record CloseConnection() implements PlatformAnswer {}
}
