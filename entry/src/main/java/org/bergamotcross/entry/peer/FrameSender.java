package org.bergamotcross.entry.peer;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import org.bergamotcross.core.membership.Member;

/** Encodes the frames of this instance, offers them to links and counts them. */
final class FrameSender {
  private final Member self;
  private final LinkSet links;
  private final PeerCodec codec;
  private final FrameCodec frames;
  private final Meter sentFrames;
  private final Meter sentBytes;
  private final Meter droppedFrames;

  FrameSender(
      Member self, LinkSet links, PeerCodec codec, FrameCodec frames, MetricRegistry metrics) {
    this.self = self;
    this.links = links;
    this.codec = codec;
    this.frames = frames;
    this.sentFrames = metrics.meter("peer.frames-sent");
    this.sentBytes = metrics.meter("peer.bytes-sent");
    this.droppedFrames = metrics.meter("peer.frames-dropped");
  }

  /** Sends a message over the link to an address. */
  void send(String address, String kind, Record message) {
    offer(address, encodeFrame(kind, message));
  }

  /** Encodes a message with its envelope. */
  byte[] encodeFrame(String kind, Record message) {
    return frame(kind, encodeBody(message));
  }

  /** Encodes a message without an envelope. */
  byte[] encodeBody(Record message) {
    return message instanceof PeerMessages.Heartbeat heartbeat
        ? frames.encode(heartbeat)
        : codec.encode(message);
  }

  /** Wraps an encoded message in the envelope of this instance. */
  byte[] frame(String kind, byte[] body) {
    return frames.encode(new Envelope(kind, self.id().value(), self.incarnation(), body));
  }

  /** Offers a frame to the link to an address; without one, the frame is dropped. */
  void offer(String address, byte[] frame) {
    if (links.offer(address, frame)) {
      sentFrames.mark();
      sentBytes.mark(frame.length + Integer.BYTES);
    } else {
      countDropped();
    }
  }

  /** Counts a frame whose receiver is unknown. */
  void countDropped() {
    droppedFrames.mark();
  }
}
