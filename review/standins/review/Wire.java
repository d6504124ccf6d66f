package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Properties;

/** The platform's names of headers, calls, topics and resources, as wire.properties gives them. */
final class Wire {
  private static final Properties NAMES = load();

  static final String ATTEMPT_ID = name("header.attempt-id");
  static final String DEADLINE = name("header.deadline");
  static final String EXPECTED_INSTANCE = name("header.expected-instance");
  static final String INSTANCE = name("header.instance");
  static final String NOT_EXECUTED = name("header.not-executed");
  static final String REFUSAL = name("header.refusal");
  static final String SEAL = name("header.seal");
  static final String LEAVING = name("header.leaving");

  static final String APPEND = name("call.append");
  static final String NEWEST = name("call.newest");
  static final String READ = name("call.read");

  static final String CONFIGURATION_TOPIC = name("topic.configuration");
  static final String BACKENDS_TOPIC = name("topic.backends");

  static final String READY_ADDRESS = name("placeholder.ready-address");

  private Wire() {}

  /** Returns a resource of the configuration, written in the format of its kind. */
  static String resource(String kind, Object... values) {
    return String.format(Locale.ROOT, name("resource." + kind), values);
  }

  private static String name(String property) {
    String name = NAMES.getProperty(property);
    if (name == null) {
      throw new IllegalStateException("wire.properties lacks " + property);
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
