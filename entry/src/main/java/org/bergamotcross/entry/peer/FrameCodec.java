package org.bergamotcross.entry.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.bergamotcross.entry.peer.PeerMessages.Heartbeat;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes envelopes and heartbeats, not thread-safe.
 *
 * <p>Nearly all frames of a large fleet are heartbeats, for which the binding of records by
 * reflection in {@link PeerCodec} costs more than all other work. The encoding is the same: a map
 * from the name of each component to its value, in which unknown names are ignored so that
 * instances of different versions interoperate.
 */
final class FrameCodec {
  private static final String KIND = "kind";
  private static final String FROM = "from";
  private static final String INCARNATION = "incarnation";
  private static final String BODY = "body";
  private static final String SEQUENCE = "sequence";
  private static final String ECHO_INCARNATION = "echoIncarnation";
  private static final String ECHO_SEQUENCE = "echoSequence";
  private static final String OFFSET = "offset";
  private static final String DELEGATION = "delegation";
  private static final String FLAGS = "flags";
  private static final String DIGEST = "digest";
  private static final String REPORT = "report";

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  /**
   * Encodes an envelope.
   *
   * @param envelope the envelope
   * @return the payload of a frame
   */
  byte[] encode(Envelope envelope) {
    packer.clear();
    try {
      packer.packMapHeader(4);
      packer.packString(KIND).packString(envelope.kind());
      packer.packString(FROM).packString(envelope.from());
      packer.packString(INCARNATION).packLong(envelope.incarnation());
      packBytes(BODY, envelope.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return packer.toByteArray();
  }

  /**
   * Encodes a heartbeat.
   *
   * @param heartbeat the heartbeat
   * @return the body of an envelope
   */
  byte[] encode(Heartbeat heartbeat) {
    packer.clear();
    try {
      boolean usesRelays = heartbeat.flags() != 0;
      boolean hasReport = heartbeat.report().length > 0;
      packer.packMapHeader(5 + (usesRelays ? 2 : 0) + (hasReport ? 1 : 0));
      packer.packString(SEQUENCE).packLong(heartbeat.sequence());
      packer.packString(ECHO_INCARNATION).packLong(heartbeat.echoIncarnation());
      packer.packString(ECHO_SEQUENCE).packLong(heartbeat.echoSequence());
      packer.packString(OFFSET).packLong(heartbeat.offset());
      packBytes(DELEGATION, heartbeat.delegation());
      if (usesRelays) {
        packer.packString(FLAGS).packInt(heartbeat.flags());
        packer.packString(DIGEST).packLong(heartbeat.digest());
      }
      if (hasReport) {
        packBytes(REPORT, heartbeat.report());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return packer.toByteArray();
  }

  private void packBytes(String name, byte[] bytes) throws IOException {
    packer.packString(name).packBinaryHeader(bytes.length).writePayload(bytes);
  }

  /**
   * Decodes an envelope.
   *
   * @param bytes the payload of a frame
   * @return the envelope; empty if the bytes encode none or it lacks the kind, sender or body
   */
  Optional<Envelope> decodeEnvelope(byte[] bytes) {
    Optional<String> kind = Optional.empty();
    Optional<String> from = Optional.empty();
    Optional<byte[]> body = Optional.empty();
    long incarnation = 0;
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      for (int left = in.unpackMapHeader(); left > 0; left--) {
        switch (in.unpackString()) {
          case KIND -> kind = Optional.of(in.unpackString());
          case FROM -> from = Optional.of(in.unpackString());
          case INCARNATION -> incarnation = in.unpackLong();
          case BODY -> body = Optional.of(readBytes(in, bytes.length));
          default -> in.skipValue();
        }
      }
    } catch (IOException | MessagePackException e) {
      return Optional.empty();
    }
    return kind.isPresent() && from.isPresent() && body.isPresent()
        ? Optional.of(new Envelope(kind.get(), from.get(), incarnation, body.get()))
        : Optional.empty();
  }

  private static byte[] readBytes(MessageUnpacker in, int maxLength) throws IOException {
    int length = in.unpackBinaryHeader();
    // The memory is allocated before the bytes are read.
    if (length > maxLength) {
      throw new MessageInsufficientBufferException();
    }
    return in.readPayload(length);
  }

  /**
   * Decodes a heartbeat.
   *
   * @param bytes the body of an envelope
   * @return the heartbeat, with 0 for each missing number; empty if the bytes encode none
   */
  Optional<Heartbeat> decodeHeartbeat(byte[] bytes) {
    long sequence = 0;
    long echoIncarnation = 0;
    long echoSequence = 0;
    long offset = 0;
    byte[] delegation = new byte[0];
    int flags = 0;
    long digest = 0;
    byte[] report = new byte[0];
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      for (int left = in.unpackMapHeader(); left > 0; left--) {
        switch (in.unpackString()) {
          case SEQUENCE -> sequence = in.unpackLong();
          case ECHO_INCARNATION -> echoIncarnation = in.unpackLong();
          case ECHO_SEQUENCE -> echoSequence = in.unpackLong();
          case OFFSET -> offset = in.unpackLong();
          case DELEGATION -> delegation = readBytes(in, bytes.length);
          case FLAGS -> flags = in.unpackInt();
          case DIGEST -> digest = in.unpackLong();
          case REPORT -> report = readBytes(in, bytes.length);
          default -> in.skipValue();
        }
      }
    } catch (IOException | MessagePackException e) {
      return Optional.empty();
    }
    return Optional.of(
        new Heartbeat(
            sequence, echoIncarnation, echoSequence, offset, delegation, flags, digest, report));
  }
}
