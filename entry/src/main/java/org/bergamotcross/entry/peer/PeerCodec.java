package org.bergamotcross.entry.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Turns records into MessagePack and back. */
final class PeerCodec {
  // Unknown fields are skipped, so that instances of two versions can talk during an upgrade.
  private final ObjectMapper mapper =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /**
   * Encodes a record.
   *
   * @param message a record of strings, numbers, byte arrays, lists, optionals and such records
   * @return the MessagePack form
   * @throws IllegalArgumentException if the type of the record can't be encoded
   */
  byte[] encode(Record message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          message.getClass().getName() + " can't be encoded as MessagePack", e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param bytes the MessagePack form
   * @param type the type of the record
   * @param <T> the type of the record
   * @return the record, or nothing when the bytes are no such record
   */
  <T extends Record> Optional<T> decode(byte[] bytes, Class<T> type) {
    try {
      return Optional.ofNullable(mapper.readValue(bytes, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
