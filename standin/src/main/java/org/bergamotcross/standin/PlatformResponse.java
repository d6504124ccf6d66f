package org.bergamotcross.standin;

import java.util.List;

/** Responses of the platform stand-in, independent of their encoding in HTTP. */
sealed interface PlatformResponse {

  record Appended(long offset) implements PlatformResponse {}

  /**
   * Records of a stream.
   *
   * @param earliest the offset of the oldest retained record
   * @param next the offset of the next record to be appended
   * @param records the records in order of offset
   */
  record Page(long earliest, long next, List<StoredRecord> records) implements PlatformResponse {}

  /** The requested offset is below the oldest retained one. */
  record Trimmed(long earliest) implements PlatformResponse {}

  record Instances(List<InstanceListEntry> entries) implements PlatformResponse {}

  record Unavailable() implements PlatformResponse {}

  /** The connection is closed without a response. */
  record CloseConnection() implements PlatformResponse {}
}
