package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names and formats of {@code wire.properties}. */
final class Wire {
  private static final Properties NAMES = load();

  static final String ATTEMPT_ID = name("header.attempt-id");
  static final String SEAL = name("header.seal");

  private Wire() {}

  static String name(String key) {
    String name = NAMES.getProperty(key);
    if (name == null) {
      throw new IllegalArgumentException("wire.properties has no " + key);
    }
    return name;
  }

  private static Properties load() {
    Properties names = new Properties();
    try (InputStream in = Wire.class.getResourceAsStream("/wire.properties")) {
      names.load(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return names;
  }

  /** The head of a consumer's request, without the headers of its body. */
  static String requestHead(String method, String path, String id, int deadlineMs) {
    return ("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n"
            + "Authorization: Bearer key-of-tenant-a\r\n")
        .formatted(method, path, ATTEMPT_ID, id, name("header.deadline"), deadlineMs);
  }
}
