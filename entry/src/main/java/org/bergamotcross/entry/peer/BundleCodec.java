package org.bergamotcross.entry.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.entry.peer.Bundle.Item;
import org.bergamotcross.entry.peer.Bundle.Part;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes bundles, not thread-safe.
 *
 * <p>A bundle is an array of items, an item an array of its components. Further elements at the end
 * of an item are ignored, so that later versions may add some.
 */
final class BundleCodec {
  private static final int ITEM_LENGTH = 5;

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  /** Encodes a bundle as the body of an envelope. */
  byte[] encode(Bundle bundle) {
    packer.clear();
    try {
      packer.packArrayHeader(bundle.items().size());
      for (Item item : bundle.items()) {
        packer.packArrayHeader(ITEM_LENGTH);
        packer.packString(item.from()).packLong(item.incarnation()).packString(item.kind());
        packer.packBinaryHeader(item.body().length).writePayload(item.body());
        packer.packArrayHeader(2 * item.parts().size());
        for (Part part : item.parts()) {
          packer.packLong(part.origin()).packLong(part.sequence());
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return packer.toByteArray();
  }

  /**
   * Decodes a bundle.
   *
   * @param bytes the body of an envelope
   * @return the bundle; empty if the bytes encode none
   */
  Optional<Bundle> decode(byte[] bytes) {
    List<Item> items = new ArrayList<>();
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      for (int left = in.unpackArrayHeader(); left > 0; left--) {
        items.add(readItem(in, bytes.length));
      }
    } catch (IOException | MessagePackException e) {
      return Optional.empty();
    }
    return Optional.of(new Bundle(items));
  }

  private static Item readItem(MessageUnpacker in, int maxLength) throws IOException {
    int components = in.unpackArrayHeader();
    String from = in.unpackString();
    long incarnation = in.unpackLong();
    String kind = in.unpackString();
    int length = in.unpackBinaryHeader();
    // The memory is allocated before the bytes are read.
    if (length > maxLength) {
      throw new MessageInsufficientBufferException();
    }
    byte[] body = in.readPayload(length);
    List<Part> parts = new ArrayList<>();
    for (int left = in.unpackArrayHeader(); left > 1; left -= 2) {
      parts.add(new Part(in.unpackLong(), in.unpackLong()));
    }
    in.skipValue(Math.max(0, components - ITEM_LENGTH));
    return new Item(from, incarnation, kind, body, parts);
  }
}
