import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names and formats of {@code wire.properties}. */
final class Wire {
  private static final Properties NAMES = load();

  static final String ATTEMPT = name("header.attempt");
  static final String TIME_LEFT = name("header.time-left");
  static final String SEAL = name("header.seal");
  static final String SERVERS = name("topic.servers");

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
}
