package org.bergamotcross.entry.peer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.kernel.ClockReading;

/**
 * What a relay reports about the counted instances, by their positions in the ordered roster.
 *
 * @param digest the digest of the roster to which the positions belong
 * @param answering the instances that answer the relay, itself included
 * @param agreeing the instances whose roster has the same digest, the relay included
 * @param receivedAt when the report was created or received
 */
record RosterReport(long digest, BitSet answering, BitSet agreeing, ClockReading receivedAt) {

  /** Encodes the report without its time. */
  byte[] encode() {
    byte[] first = answering.toByteArray();
    byte[] second = agreeing.toByteArray();
    return ByteBuffer.allocate(Long.BYTES + Short.BYTES + first.length + second.length)
        .putLong(digest)
        .putShort((short) first.length)
        .put(first)
        .put(second)
        .array();
  }

  /**
   * Decodes a report.
   *
   * @param bytes the encoded report
   * @param now the current time
   * @return the report; empty if the bytes encode none
   */
  static Optional<RosterReport> decode(byte[] bytes, ClockReading now) {
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      long digest = in.getLong();
      int length = Short.toUnsignedInt(in.getShort());
      if (length > in.remaining()) {
        return Optional.empty();
      }
      BitSet answering = BitSet.valueOf(in.slice(in.position(), length));
      BitSet agreeing = BitSet.valueOf(in.position(in.position() + length));
      return Optional.of(new RosterReport(digest, answering, agreeing, now));
    } catch (BufferUnderflowException e) {
      return Optional.empty();
    }
  }

  boolean hasSameContent(RosterReport other) {
    return digest == other.digest
        && answering.equals(other.answering)
        && agreeing.equals(other.agreeing);
  }

  /** Returns the instances at the positions of a set. */
  static List<InstanceId> instances(BitSet positions, List<Member> roster) {
    return positions.stream()
        .filter(i -> i < roster.size())
        .mapToObj(i -> roster.get(i).id())
        .toList();
  }
}
