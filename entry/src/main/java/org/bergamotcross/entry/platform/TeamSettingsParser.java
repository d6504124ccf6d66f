package org.bergamotcross.entry.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.bergamotcross.core.config.ApiKey;
import org.bergamotcross.core.config.ContentParser;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.config.Organisation;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.Pool;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.core.config.Target;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.kernel.IniDocument;
import org.bergamotcross.kernel.IniResult;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.SettingProblem;

/**
 * Parses and validates the settings of a team in INI format, and reports all problems together.
 *
 * <pre>{@code
 * switch (TeamSettingsParser.parse("team.ini", text)) {
 *   case TeamSettingsParser.Result.Valid valid -> publish(valid.settings());
 *   case TeamSettingsParser.Result.Invalid invalid -> invalid.problems().forEach(System.err::println);
 * }
 * }</pre>
 */
public final class TeamSettingsParser {
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,62})");
  private static final Pattern TARGET = Pattern.compile("([^=@]+)=([^=@]+)@([^=@]+)");
  private static final Pattern PATH = Pattern.compile("(/[A-Za-z0-9._~-]+)+");
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS");
  private static final String NAME_RULE = "lower-case letters, digits and hyphens, at most 63";
  private static final int MAX_TIMEOUT_MS = 60_000;
  private static final int MAX_SLOTS = 1_000;

  private static final Map<String, List<String>> KEYS =
      Map.of(
          "team", List.of("name"),
          "organisation", List.of("rate", "burst"),
          "key", List.of("organisation", "sha256"),
          "pool", List.of("floor", "slots", "targets"),
          "route", List.of("path", "pool", "methods", "idempotent", "organisations", "timeout-ms"));

  private final String file;
  private final IniDocument document;
  private final List<SettingProblem> problems = new ArrayList<>();
  private String team = "";
  private final List<Organisation> organisations = new ArrayList<>();
  private final List<ApiKey> keys = new ArrayList<>();
  private final List<Pool> pools = new ArrayList<>();
  private final List<Route> routes = new ArrayList<>();

  private TeamSettingsParser(String file, IniDocument document) {
    this.file = file;
    this.document = document;
  }

  /** The result of parsing a team's settings. */
  public sealed interface Result {

    /**
     * The text is valid.
     *
     * @param settings the team's settings
     */
    record Valid(TeamSettings settings) implements Result {}

    /**
     * The text is invalid.
     *
     * @param problems all problems, at least one
     */
    record Invalid(List<SettingProblem> problems) implements Result {

      /** Copies the problems. */
      public Invalid {
        problems = List.copyOf(problems);
      }
    }
  }

  /**
   * Parses a team's settings.
   *
   * @param file the file name to report in problems
   * @param text the INI text
   * @return the settings, or all problems
   */
  public static Result parse(String file, String text) {
    return switch (IniDocument.parse(file, text)) {
      case IniResult.Malformed malformed -> new Result.Invalid(List.of(malformed.problem()));
      case IniResult.Parsed parsed ->
          new TeamSettingsParser(file, parsed.document()).parseDocument();
    };
  }

  /**
   * Returns a reader of the content of edits, for replaying the log.
   *
   * @return a reader that uses {@link #parse}
   */
  public static ContentParser contentParser() {
    return (path, content) ->
        switch (parse(path, content)) {
          case Result.Valid valid -> new ContentParser.Result.Valid(valid.settings());
          case Result.Invalid invalid ->
              new ContentParser.Result.Invalid(
                  invalid.problems().stream().map(SettingProblem::toString).toList());
        };
  }

  private Result parseDocument() {
    checkSections();
    team = requireValue("team", "name", NAME_RULE, TeamSettingsParser::parseName).orElse("");
    forEachSection("organisation", this::readOrganisation);
    forEachSection("pool", this::readPool);
    forEachSection("key", this::readKey);
    forEachSection("route", this::readRoute);
    checkTargets();
    checkKeys();
    checkRoutes();
    return problems.isEmpty()
        ? new Result.Valid(new TeamSettings(team, organisations, keys, pools, routes))
        : new Result.Invalid(problems);
  }

  private void checkSections() {
    document
        .sections()
        .forEach(
            (section, values) -> {
              String[] words = section.split("\\s+", -1);
              List<String> known = KEYS.getOrDefault(words[0], List.of());
              boolean named = words.length == 2 && NAME.matcher(words[1]).matches();
              if (known.isEmpty() || ("team".equals(words[0]) ? words.length != 1 : !named)) {
                problem(
                    section,
                    "",
                    "an unknown section",
                    "[team], or [organisation NAME], [key NAME], [pool NAME], [route NAME] with "
                        + NAME_RULE);
                return;
              }
              values.keySet().stream()
                  .filter(key -> !known.contains(key))
                  .forEach(
                      key ->
                          problem(
                              section,
                              key,
                              "an unknown key",
                              "one of " + String.join(", ", known)));
            });
  }

  private interface SectionReader {
    void read(String section, String name);
  }

  private void forEachSection(String kind, SectionReader reader) {
    for (String section : document.sections().keySet()) {
      String[] words = section.split("\\s+", -1);
      if (words.length == 2 && words[0].equals(kind) && NAME.matcher(words[1]).matches()) {
        reader.read(section, words[1]);
      }
    }
  }

  private void readOrganisation(String section, String name) {
    Optional<Double> rate =
        requireValue(
            section, "rate", "a number above 0", text -> parseDecimal(text).filter(v -> v > 0));
    Optional<Double> burst =
        requireValue(
            section, "burst", "a number from 1", text -> parseDecimal(text).filter(v -> v >= 1));
    if (rate.isPresent() && burst.isPresent()) {
      organisations.add(
          new Organisation(new OrganisationId(qualified(name)), rate.get(), burst.get()));
    }
  }

  private void readPool(String section, String name) {
    Optional<Double> floor =
        requireValue(
            section,
            "floor",
            "a number from 0 to 1",
            text -> parseDecimal(text).filter(v -> v >= 0 && v <= 1));
    Optional<Integer> slots =
        requireValue(
            section,
            "slots",
            "a whole number from 1 to " + MAX_SLOTS,
            text -> parseInteger(text).filter(v -> v >= 1 && v <= MAX_SLOTS));
    Optional<List<Target>> targets =
        requireValue(
            section,
            "targets",
            "id=ip:port@failure-domain, separated by commas, at least one",
            TeamSettingsParser::parseTargets);
    if (floor.isPresent() && slots.isPresent() && targets.isPresent()) {
      pools.add(new Pool(new PoolId(qualified(name)), floor.get(), slots.get(), targets.get()));
    }
  }

  private void readKey(String section, String name) {
    Optional<String> organisation = requireReference(section, "organisation", "organisation");
    Optional<KeyHash> hash =
        requireValue(
            section, "sha256", "64 hexadecimal digits in lower case", KeyHashParser::parse);
    if (organisation.isPresent() && hash.isPresent()) {
      keys.add(new ApiKey(name, new OrganisationId(qualified(organisation.get())), hash.get()));
    }
  }

  private void readRoute(String section, String name) {
    Optional<String> path =
        requireValue(
            section,
            "path",
            "a path below /" + team + "/ of letters, digits and . _ ~ -",
            text ->
                Optional.of(text)
                    .filter(t -> PATH.matcher(t).matches() && t.startsWith("/" + team + "/")));
    Optional<String> pool = requireReference(section, "pool", "pool");
    Optional<Set<String>> methods =
        requireValue(
            section, "methods", "some of " + sorted(METHODS), text -> parseMethods(text, 1));
    Optional<Set<String>> idempotent = idempotentMethods(section, methods);
    Optional<Set<OrganisationId>> allowed = allowedOrganisations(section);
    Optional<Integer> timeout =
        requireValue(
            section,
            "timeout-ms",
            "a whole number from 1 to " + MAX_TIMEOUT_MS,
            text -> parseInteger(text).filter(v -> v >= 1 && v <= MAX_TIMEOUT_MS));
    if (path.isPresent()
        && pool.isPresent()
        && methods.isPresent()
        && idempotent.isPresent()
        && allowed.isPresent()
        && timeout.isPresent()) {
      routes.add(
          new Route(
              qualified(name),
              path.get(),
              new PoolId(qualified(pool.get())),
              methods.get(),
              idempotent.get(),
              allowed.get(),
              Duration.ofMillis(timeout.get())));
    }
  }

  // Without this key a route has no idempotent methods, because retries must be enabled explicitly.
  private Optional<Set<String>> idempotentMethods(String section, Optional<Set<String>> methods) {
    Set<String> allowed = methods.orElse(METHODS);
    String text = document.value(section, "idempotent").orElse("");
    Optional<Set<String>> found = parseMethods(text, 0).filter(allowed::containsAll);
    if (found.isEmpty()) {
      problem(section, "idempotent", "\"" + text + "\"", "some of the methods " + sorted(allowed));
    }
    return found;
  }

  private Optional<Set<OrganisationId>> allowedOrganisations(String section) {
    Optional<String> text = document.value(section, "organisations");
    if (text.isEmpty() || text.get().isEmpty()) {
      problem(section, "organisations", "nothing", "* or a list of organisations");
      return Optional.empty();
    }
    if ("*".equals(text.get())) {
      return Optional.of(Set.of());
    }
    Set<OrganisationId> allowed = new HashSet<>();
    for (String name : splitList(text.get())) {
      if (!document.sections().containsKey("organisation " + name)) {
        problem(section, "organisations", "\"" + name + "\"", expectedNames("organisation"));
        return Optional.empty();
      }
      allowed.add(new OrganisationId(qualified(name)));
    }
    return Optional.of(allowed);
  }

  private void checkTargets() {
    Map<Object, String> places = new HashMap<>();
    for (Pool pool : pools) {
      for (Target target : pool.targets()) {
        String section = "pool " + pool.id().value().substring(team.length() + 1);
        requireUnique(places, target.id(), section, "targets", "target " + target.id());
        String address = target.host() + ":" + target.port();
        requireUnique(places, address, section, "targets", "address " + address);
      }
    }
  }

  private void checkKeys() {
    Map<Object, String> places = new HashMap<>();
    keys.forEach(
        key ->
            requireUnique(places, key.hash(), "key " + key.name(), "sha256", "the hash of a key"));
  }

  private void checkRoutes() {
    Map<Object, String> places = new HashMap<>();
    for (Route route : routes) {
      String section = "route " + route.name().substring(team.length() + 1);
      requireUnique(places, route.path(), section, "path", "path " + route.path());
    }
  }

  private void requireUnique(
      Map<Object, String> places, Object value, String section, String key, String what) {
    String first = places.putIfAbsent(value, section);
    if (first != null) {
      problem(section, key, what + ", also in [" + first + "]", "each one once");
    }
  }

  private Optional<String> requireReference(String section, String key, String kind) {
    return requireValue(
        section,
        key,
        expectedNames(kind),
        text -> Optional.of(text).filter(t -> document.sections().containsKey(kind + " " + t)));
  }

  private String expectedNames(String kind) {
    Set<String> names =
        document.sections().keySet().stream()
            .filter(section -> section.startsWith(kind + " "))
            .map(section -> section.substring(kind.length() + 1))
            .collect(Collectors.toSet());
    return names.isEmpty()
        ? "the name of a section [" + kind + " NAME]"
        : "one of " + sorted(names);
  }

  private <T> Optional<T> requireValue(
      String section, String key, String expected, Function<String, Optional<T>> reader) {
    Optional<String> text = document.value(section, key);
    Optional<T> value = text.flatMap(reader);
    if (value.isEmpty()) {
      problem(section, key, text.map(t -> "\"" + t + "\"").orElse("nothing"), expected);
    }
    return value;
  }

  private void problem(String section, String key, String found, String expected) {
    problems.add(new SettingProblem(file, section, key, found, expected));
  }

  private String qualified(String name) {
    return team + "/" + name;
  }

  private static Optional<String> parseName(String text) {
    return Optional.of(text).filter(t -> NAME.matcher(t).matches());
  }

  private static Optional<List<Target>> parseTargets(String text) {
    List<Target> targets = new ArrayList<>();
    for (String entry : splitList(text)) {
      Matcher matcher = TARGET.matcher(entry);
      if (!matcher.matches()
          || parseName(matcher.group(1).strip()).isEmpty()
          || parseName(matcher.group(3).strip()).isEmpty()) {
        return Optional.empty();
      }
      Optional<Target> target =
          Setting.parseAddress(matcher.group(2).strip())
              .filter(address -> address.getPort() > 0)
              .map(
                  address ->
                      new Target(
                          new TargetId(matcher.group(1).strip()),
                          address.getAddress().getHostAddress(),
                          address.getPort(),
                          new FailureDomain(matcher.group(3).strip())));
      if (target.isEmpty()) {
        return Optional.empty();
      }
      targets.add(target.get());
    }
    return Optional.of(targets).filter(list -> !list.isEmpty());
  }

  private static Optional<Set<String>> parseMethods(String text, int minimum) {
    Set<String> methods = new HashSet<>(splitList(text));
    return Optional.of(methods)
        .filter(found -> found.size() >= minimum && METHODS.containsAll(found));
  }

  private static List<String> splitList(String text) {
    return Arrays.stream(text.split(",", -1))
        .map(String::strip)
        .filter(word -> !word.isEmpty())
        .toList();
  }

  private static Optional<Double> parseDecimal(String text) {
    try {
      return Optional.of(Double.valueOf(text)).filter(Double::isFinite);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static Optional<Integer> parseInteger(String text) {
    try {
      return Optional.of(Integer.valueOf(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static String sorted(Collection<String> words) {
    return words.stream().sorted().collect(Collectors.joining(", "));
  }
}
