package org.bergamotcross.entry.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
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
 */
final class DelegationCodec {
  private static final int SHARE_USABLE_FLAG = 1;
  private static final int REGISTERED_FLAG = 2;
  private static final int RELEASED_FLAG = 4;

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
   * Encodes an announcement.
   *
   * @param announcement the announcement
   * @param currentRoster all counted instances, in order of their names
   * @return the encoded announcement
   */
  byte[] encode(DelegationAnnouncement announcement, List<Member> currentRoster) {
    updateRoster(currentRoster);
    Delegation delegation = announcement.delegation();
    int bitmapLength = bitmapBytes();
    boolean hasSettling = !delegation.settling().isEmpty();
    ByteBuffer buffer =
        ByteBuffer.allocate(Integer.BYTES + 1 + bitmapLength * (hasSettling ? 2 : 1));
    buffer.putInt(fingerprint);
    buffer.put(
        (byte)
            ((delegation.shares() > 0 ? SHARE_USABLE_FLAG : 0)
                | (announcement.registered() ? REGISTERED_FLAG : 0)
                | (announcement.released() ? RELEASED_FLAG : 0)));
    Set<InstanceId> candidates =
        delegation.candidates().list().stream().map(Member::id).collect(Collectors.toSet());
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
    boolean readable =
        (bytes.length == minLength || bytes.length == minLength + bitmapLength)
            && buffer.getInt() == fingerprint;
    if (!readable) {
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
    List<Member> candidates = readBitmap(buffer);
    Set<InstanceId> settling = new HashSet<>();
    if (buffer.hasRemaining()) {
      readBitmap(buffer).forEach(member -> settling.add(member.id()));
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
