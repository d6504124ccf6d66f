package org.bergamotcross.entry.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes records as MessagePack and decodes them. */
final class PeerCodec {
  // Unknown fields are ignored so that instances of different versions interoperate in an upgrade.
  private final ObjectMapper mapper =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /**
   * Encodes a record as MessagePack.
   *
   * @param message a record of strings, numbers, byte arrays, lists, optionals and nested records
   * @return the encoded record
   * @throws IllegalArgumentException if the record has a component that can't be encoded
   */
  byte[] encode(Record message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          message.getClass().getName() + " cannot be encoded as MessagePack", e);
    }
  }

  /**
   * Decodes a record from MessagePack.
   *
   * @param bytes the encoded record
   * @param type the class of the record
   * @param <T> the type of the record
   * @return the record, or empty if the bytes do not encode a record of this type
   */
  <T extends Record> Optional<T> decode(byte[] bytes, Class<T> type) {
    try {
      return Optional.ofNullable(mapper.readValue(bytes, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
