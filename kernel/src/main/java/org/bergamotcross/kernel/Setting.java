package org.bergamotcross.kernel;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Describes one key of the settings file: its format, default and parser.
 *
 * <pre>{@code
 * static final Setting<Integer> QUEUE = Setting.integer("limits", "queue-capacity", 1, 100_000)
 *     .orDefault("1024");
 * }</pre>
 *
 * @param section the section
 * @param key the key
 * @param expected the expected format, for error messages and the settings reference
 * @param defaultText the text used if the key is missing; a setting without a default is required
 * @param parser converts the text to a value
 * @param <T> the type of the value
 */
public record Setting<T>(
    String section, String key, String expected, Optional<String> defaultText, Parser<T> parser) {
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
  private static final Pattern DURATION_PATTERN =
      Pattern.compile("(\\d{1,9}(?:\\.\\d{1,9})?)(ms|s)");
  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9]([a-z0-9-]{0,62})");
  private static final int MAX_PORT = 65_535;

  /**
   * Converts text to a value.
   *
   * @param <T> the type of the value
   */
  @FunctionalInterface
  public interface Parser<T> {

    /**
     * Parses a value.
     *
     * @param text the text without surrounding white space
     * @return the value, or empty if the text is invalid
     */
    Optional<T> parse(String text);
  }

  /**
   * Describes a required name made of lower-case letters, digits and hyphens.
   *
   * @param section the section
   * @param key the key
   * @return the setting
   */
  public static Setting<String> name(String section, String key) {
    return new Setting<>(
        section,
        key,
        "lower-case letters, digits and hyphens, at most 63",
        Optional.empty(),
        text -> Optional.of(text).filter(t -> NAME_PATTERN.matcher(t).matches()));
  }

  /**
   * Describes a required IPv4 address with a port.
   *
   * @param section the section
   * @param key the key
   * @return the setting
   */
  public static Setting<InetSocketAddress> address(String section, String key) {
    return new Setting<>(
        section,
        key,
        "an IPv4 address and port such as 127.0.0.1:8080",
        Optional.empty(),
        Setting::parseAddress);
  }

  /**
   * Describes a required integer within a range.
   *
   * @param section the section
   * @param key the key
   * @param min the minimum value, inclusive
   * @param max the maximum value, inclusive
   * @return the setting
   */
  public static Setting<Integer> integer(String section, String key, int min, int max) {
    return new Setting<>(
        section,
        key,
        "a whole number from " + min + " to " + max,
        Optional.empty(),
        text -> parseInteger(text).filter(value -> value >= min && value <= max));
  }

  /**
   * Describes a required decimal number within a range.
   *
   * @param section the section
   * @param key the key
   * @param min the minimum value, inclusive
   * @param max the maximum value, inclusive
   * @return the setting
   */
  public static Setting<Double> decimal(String section, String key, double min, double max) {
    return new Setting<>(
        section,
        key,
        "a number from " + min + " to " + max,
        Optional.empty(),
        text -> parseDecimal(text).filter(value -> value >= min && value <= max));
  }

  /**
   * Describes a required positive duration with a unit, ms or s.
   *
   * @param section the section
   * @param key the key
   * @return the setting
   */
  public static Setting<Duration> duration(String section, String key) {
    return new Setting<>(
        section,
        key,
        "a duration above zero such as 500ms or 2.5s",
        Optional.empty(),
        Setting::parseDuration);
  }

  /**
   * Describes a required value from a fixed list.
   *
   * @param section the section
   * @param key the key
   * @param words the valid values
   * @return the setting
   */
  public static Setting<String> oneOf(String section, String key, List<String> words) {
    return new Setting<>(
        section,
        key,
        "one of " + String.join(", ", words),
        Optional.empty(),
        text -> Optional.of(text).filter(words::contains));
  }

  /**
   * Returns this setting with a default, which makes the key optional.
   *
   * @param text the text used if the key is missing
   * @return the optional setting
   */
  public Setting<T> orDefault(String text) {
    return new Setting<>(section, key, expected, Optional.of(text), parser);
  }

  /**
   * Parses an IPv4 address with a port, without a DNS lookup.
   *
   * @param text for example {@code 127.0.0.1:8080}
   * @return the address, or empty if the text is invalid
   */
  public static Optional<InetSocketAddress> parseAddress(String text) {
    Matcher matcher = ADDRESS_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    for (String part : matcher.group(1).split("\\.", -1)) {
      if (Integer.parseInt(part) > 255) {
        return Optional.empty();
      }
    }
    int port = Integer.parseInt(matcher.group(2));
    if (port > MAX_PORT) {
      return Optional.empty();
    }
    return Optional.of(new InetSocketAddress(matcher.group(1), port));
  }

  private static Optional<Duration> parseDuration(String text) {
    Matcher matcher = DURATION_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    double nanosPerUnit = matcher.group(2).equals("s") ? 1e9 : 1e6;
    return parseDecimal(matcher.group(1))
        .map(number -> Duration.ofNanos(Math.round(number * nanosPerUnit)))
        .filter(Duration::isPositive);
  }

  private static Optional<Double> parseDecimal(String text) {
    try {
      return Optional.of(Double.parseDouble(text)).filter(Double::isFinite);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static Optional<Integer> parseInteger(String text) {
    try {
      return Optional.of(Integer.parseInt(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
