package org.bergamotcross.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.bergamotcross.entry.peer.PeerMessages.Heartbeat;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Compares the codec with the binding of records, which instances of older versions use. */
class FrameCodecTest {
  private final FrameCodec frames = new FrameCodec();
  private final PeerCodec records = new PeerCodec();

  private static void assertSame(Heartbeat found, Heartbeat expected) {
    assertThat(found.sequence()).isEqualTo(expected.sequence());
    assertThat(found.echoIncarnation()).isEqualTo(expected.echoIncarnation());
    assertThat(found.echoSequence()).isEqualTo(expected.echoSequence());
    assertThat(found.offset()).isEqualTo(expected.offset());
    assertThat(found.delegation()).isEqualTo(expected.delegation());
  }

  private static void assertSame(Envelope found, Envelope expected) {
    assertThat(found.kind()).isEqualTo(expected.kind());
    assertThat(found.from()).isEqualTo(expected.from());
    assertThat(found.incarnation()).isEqualTo(expected.incarnation());
    assertThat(found.body()).isEqualTo(expected.body());
  }

  // Guards against instances of two versions that don't understand each other during an upgrade.
  @Nested
  @Group
  class OlderVersions {
    @Property(tries = 200)
    void exchangeHeartbeats(
        @ForAll long sequence,
        @ForAll long incarnation,
        @ForAll long echo,
        @ForAll long offset,
        @ForAll @Size(max = 300) byte[] delegation) {
      Heartbeat heartbeat = new Heartbeat(sequence, incarnation, echo, offset, delegation);
      assertSame(
          records.decode(frames.encode(heartbeat), Heartbeat.class).orElseThrow(), heartbeat);
      assertSame(frames.decodeHeartbeat(records.encode(heartbeat)).orElseThrow(), heartbeat);
    }

    @Property(tries = 200)
    void exchangeEnvelopes(
        @ForAll String kind,
        @ForAll String from,
        @ForAll long incarnation,
        @ForAll @Size(max = 300) byte[] body) {
      Envelope envelope = new Envelope(kind, from, incarnation, body);
      Optional<Envelope> read = records.decode(frames.encode(envelope), Envelope.class);
      // Both replace a lone surrogate, which has no encoding.
      Envelope expected = records.decode(records.encode(envelope), Envelope.class).orElseThrow();
      assertSame(read.orElseThrow(), expected);
      assertSame(frames.decodeEnvelope(records.encode(envelope)).orElseThrow(), expected);
    }
  }

  @Nested
  @Group
  class ArbitraryBytes {
    @Property(tries = 500)
    void neverCauseAnException(@ForAll @Size(max = 64) byte[] bytes) {
      frames.decodeEnvelope(bytes).ifPresent(read -> assertThat(read.kind()).isNotNull());
      frames.decodeHeartbeat(bytes).ifPresent(read -> assertThat(read.delegation()).isNotNull());
    }
  }

  @Nested
  class InvalidBytes {
    private final byte[] envelope =
        new FrameCodec().encode(new Envelope("beat", "a", 1, new byte[] {1, 2, 3}));

    @Test
    void thatEndEarlyAreRejected() {
      for (int length = 0; length < envelope.length; length++) {
        assertThat(frames.decodeEnvelope(Arrays.copyOf(envelope, length))).isEmpty();
      }
    }

    // A header may announce more bytes than memory can hold.
    @Test
    void withAHugeLengthAreRejected() {
      byte[] huge = {(byte) 0x81, (byte) 0xa4, 'b', 'o', 'd', 'y', (byte) 0xc6, 0x7f, -1, -1, -1};
      assertThat(frames.decodeEnvelope(huge)).isEmpty();
    }
  }

  record EarlierUpdate(long end) {}

  record LaterUpdate(long end, boolean complete) {}

  record LaterHeartbeat(long sequence, String addition, long offset) {}

  @Nested
  class LaterVersions {
    @Test
    void mayAddAndOmitComponents() {
      Heartbeat read =
          frames.decodeHeartbeat(records.encode(new LaterHeartbeat(7, "new", 9))).orElseThrow();
      assertSame(read, new Heartbeat(7, 0, 0, 9, new byte[0]));
    }

    // Guards against dropping a message of an older instance that lacks a flag.
    @Test
    void readMissingFlagsAsFalse() {
      assertThat(records.decode(records.encode(new EarlierUpdate(7)), LaterUpdate.class))
          .hasValue(new LaterUpdate(7, false));
      assertThat(records.decode(records.encode(new LaterUpdate(7, true)), EarlierUpdate.class))
          .hasValue(new EarlierUpdate(7));
    }
  }
}
