package org.bergamotcross.entry.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.MurmurHash3;
import org.bergamotcross.core.membership.Delegation;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;

/**
 * Encodes delegations compactly, as bitmaps over the roster of counted instances.
 *
 * <p>Every heartbeat carries a delegation, so it is kept small: a fingerprint of the roster, a byte
 * of flags, a bitmap of the candidates and, only if there are any, a bitmap of the settling ones. A
 * receiver with a different roster can't decode it; rosters converge within a few heartbeats.
 *
 * <p>In a large fleet only relays are candidates, and their positions are shorter than a bitmap. An
 * instance of an older version can't decode these; it is no candidate then.
 */
final class DelegationCodec {
  private static final int SHARE_USABLE_FLAG = 1;
  private static final int REGISTERED_FLAG = 2;
  private static final int RELEASED_FLAG = 4;
  private static final int POSITIONS_FLAG = 8;

  // Instances that reach the same peers announce equal delegations, so few distinct ones are in use
  // at a time, and some more while reachability changes.
  private static final int MAX_CACHED_DECODINGS = 64;

  /**
   * The delegation and status flags that an instance announces in a heartbeat.
   *
   * @param delegation the instance's delegation of its share
   * @param registered whether the instance is listed in the directory
   * @param released whether the instance has released everything that others delegated to it
   */
  record DelegationAnnouncement(Delegation delegation, boolean registered, boolean released) {}

  private final Map<ByteBuffer, DelegationAnnouncement> decodings = new HashMap<>();
  private List<Member> roster = List.of();
  private int fingerprint;

  /**
   * Encodes an announcement in the form that instances of all versions read.
   *
   * @param announcement the announcement
   * @param currentRoster all counted instances, in order of their names
   * @return the encoded announcement
   */
  byte[] encode(DelegationAnnouncement announcement, List<Member> currentRoster) {
    return encode(announcement, currentRoster, false);
  }

  /**
   * Encodes an announcement.
   *
   * @param announcement the announcement
   * @param currentRoster all counted instances, in order of their names
   * @param mayUsePositions whether positions are used where they are shorter than a bitmap
   * @return the encoded announcement
   */
  byte[] encode(
      DelegationAnnouncement announcement, List<Member> currentRoster, boolean mayUsePositions) {
    updateRoster(currentRoster);
    Delegation delegation = announcement.delegation();
    boolean hasSettling = !delegation.settling().isEmpty();
    int bitmapLength = bitmapBytes() * (hasSettling ? 2 : 1);
    Set<InstanceId> candidates =
        delegation.candidates().list().stream().map(Member::id).collect(Collectors.toSet());
    int positionsLength = Short.BYTES * (1 + candidates.size() + delegation.settling().size());
    boolean usesPositions = mayUsePositions && positionsLength < bitmapLength;
    ByteBuffer buffer =
        ByteBuffer.allocate(Integer.BYTES + 1 + (usesPositions ? positionsLength : bitmapLength));
    buffer.putInt(fingerprint);
    buffer.put(
        (byte)
            ((delegation.shares() > 0 ? SHARE_USABLE_FLAG : 0)
                | (announcement.registered() ? REGISTERED_FLAG : 0)
                | (announcement.released() ? RELEASED_FLAG : 0)
                | (usesPositions ? POSITIONS_FLAG : 0)));
    if (usesPositions) {
      List<Short> candidatePositions = positions(candidates::contains);
      buffer.putShort((short) candidatePositions.size());
      candidatePositions.forEach(buffer::putShort);
      positions(delegation.settling()::contains).forEach(buffer::putShort);
      return Arrays.copyOf(buffer.array(), buffer.position());
    }
    writeBitmap(buffer, candidates::contains);
    if (hasSettling) {
      writeBitmap(buffer, delegation.settling()::contains);
    }
    return buffer.array();
  }

  /**
   * Decodes an announcement.
   *
   * @param bytes the encoded announcement
   * @param currentRoster all counted instances, in order of their names
   * @return the announcement, the same object for equal bytes while it is cached; empty if the
   *     sender has a different roster or the length is wrong
   */
  Optional<DelegationAnnouncement> decode(byte[] bytes, List<Member> currentRoster) {
    updateRoster(currentRoster);
    int bitmapLength = bitmapBytes();
    int minLength = Integer.BYTES + 1 + bitmapLength;
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    boolean isReadable =
        bytes.length > Integer.BYTES
            && buffer.getInt() == fingerprint
            && ((bytes[Integer.BYTES] & POSITIONS_FLAG) != 0
                ? hasPositions(buffer)
                : bytes.length == minLength || bytes.length == minLength + bitmapLength);
    if (!isReadable) {
      return Optional.empty();
    }
    if (decodings.size() > MAX_CACHED_DECODINGS) {
      decodings.clear();
    }
    return Optional.of(
        decodings.computeIfAbsent(ByteBuffer.wrap(bytes), key -> decodeUncached(buffer)));
  }

  private DelegationAnnouncement decodeUncached(ByteBuffer buffer) {
    int flags = buffer.get();
    boolean usesPositions = (flags & POSITIONS_FLAG) != 0;
    List<Member> candidates =
        usesPositions ? readPositions(buffer, buffer.getShort()) : readBitmap(buffer);
    Set<InstanceId> settling = new HashSet<>();
    if (buffer.hasRemaining()) {
      List<Member> members =
          usesPositions
              ? readPositions(buffer, buffer.remaining() / Short.BYTES)
              : readBitmap(buffer);
      members.forEach(member -> settling.add(member.id()));
    }
    int shares = (flags & SHARE_USABLE_FLAG) == 0 ? 0 : roster.size();
    return new DelegationAnnouncement(
        new Delegation(shares, new Members(Members.NONE.epoch(), candidates), settling),
        (flags & REGISTERED_FLAG) != 0,
        (flags & RELEASED_FLAG) != 0);
  }

  private void updateRoster(List<Member> currentRoster) {
    if (!currentRoster.equals(roster)) {
      roster = currentRoster;
      decodings.clear();
      String text =
          currentRoster.stream()
              .map(member -> member.id() + "\n" + member.failureDomain())
              .collect(Collectors.joining("\n"));
      fingerprint = MurmurHash3.hash32x86(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  private int bitmapBytes() {
    return (roster.size() + Byte.SIZE - 1) / Byte.SIZE;
  }

  /** Tells whether the flags are followed by a number of positions and at least that many. */
  private static boolean hasPositions(ByteBuffer buffer) {
    int start = buffer.position() + 1;
    int length = buffer.limit() - start - Short.BYTES;
    return length >= 0
        && length % Short.BYTES == 0
        && Short.toUnsignedInt(buffer.getShort(start)) <= length / Short.BYTES;
  }

  private List<Short> positions(Predicate<InstanceId> contains) {
    return IntStream.range(0, roster.size())
        .filter(i -> contains.test(roster.get(i).id()))
        .mapToObj(i -> (short) i)
        .toList();
  }

  private List<Member> readPositions(ByteBuffer buffer, int count) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int position = Short.toUnsignedInt(buffer.getShort());
      if (position < roster.size()) {
        members.add(roster.get(position));
      }
    }
    return members;
  }

  private void writeBitmap(ByteBuffer buffer, Predicate<InstanceId> contains) {
    BitSet bits = new BitSet(roster.size());
    for (int i = 0; i < roster.size(); i++) {
      bits.set(i, contains.test(roster.get(i).id()));
    }
    int end = buffer.position() + bitmapBytes();
    buffer.put(bits.toByteArray());
    buffer.position(end);
  }

  private List<Member> readBitmap(ByteBuffer buffer) {
    byte[] bitmap = new byte[bitmapBytes()];
    buffer.get(bitmap);
    BitSet bits = BitSet.valueOf(bitmap);
    return bits.stream().filter(i -> i < roster.size()).mapToObj(roster::get).toList();
  }
}
