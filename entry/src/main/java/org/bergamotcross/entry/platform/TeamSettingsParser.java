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
import org.bergamotcross.core.config.ContentReader;
import org.bergamotcross.core.config.Key;
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
 * Reads the subtree of a team from INI text and checks it; all problems are reported at once.
 *
 * <pre>{@code
 * switch (TeamIni.read("team.ini", text)) {
 *   case TeamIni.Result.Valid valid -> publish(valid.settings());
 *   case TeamIni.Result.Invalid invalid -> invalid.problems().forEach(System.err::println);
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
  private final List<Key> keys = new ArrayList<>();
  private final List<Pool> pools = new ArrayList<>();
  private final List<Route> routes = new ArrayList<>();

  private TeamSettingsParser(String file, IniDocument document) {
    this.file = file;
    this.document = document;
  }

  /** The result of reading a subtree. */
  public sealed interface Result {

    /**
     * The text is right.
     *
     * @param settings the subtree
     */
    record Valid(TeamSettings settings) implements Result {}

    /**
     * The text can't be used.
     *
     * @param problems all that is wrong, at least one
     */
    record Invalid(List<SettingProblem> problems) implements Result {

      /** Copies the list. */
      public Invalid {
        problems = List.copyOf(problems);
      }
    }
  }

  /**
   * Reads a subtree.
   *
   * @param file the name used in problems
   * @param text the INI text
   * @return the subtree, or all problems
   */
  public static Result parse(String file, String text) {
    return switch (IniDocument.parse(file, text)) {
      case IniResult.Malformed malformed -> new Result.Invalid(List.of(malformed.problem()));
      case IniResult.Parsed parsed -> new TeamSettingsParser(file, parsed.document()).readAll();
    };
  }

  /**
   * Returns the reader that the fold of the log uses.
   *
   * @return a reader over {@link #parse}
   */
  public static ContentReader contentReader() {
    return (path, content) ->
        switch (parse(path, content)) {
          case Result.Valid valid -> new ContentReader.Result.Valid(valid.settings());
          case Result.Invalid invalid ->
              new ContentReader.Result.Invalid(
                  invalid.problems().stream().map(SettingProblem::toString).toList());
        };
  }

  private Result readAll() {
    checkSections();
    team = require("team", "name", NAME_RULE, TeamSettingsParser::name).orElse("");
    eachSection("organisation", this::readOrganisation);
    eachSection("pool", this::readPool);
    eachSection("key", this::readKey);
    eachSection("route", this::readRoute);
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

  private void eachSection(String kind, SectionReader reader) {
    for (String section : document.sections().keySet()) {
      String[] words = section.split("\\s+", -1);
      if (words.length == 2 && words[0].equals(kind) && NAME.matcher(words[1]).matches()) {
        reader.read(section, words[1]);
      }
    }
  }

  private void readOrganisation(String section, String name) {
    Optional<Double> rate =
        require(section, "rate", "a number above 0", text -> decimal(text).filter(v -> v > 0));
    Optional<Double> burst =
        require(section, "burst", "a number from 1", text -> decimal(text).filter(v -> v >= 1));
    if (rate.isPresent() && burst.isPresent()) {
      organisations.add(
          new Organisation(new OrganisationId(qualified(name)), rate.get(), burst.get()));
    }
  }

  private void readPool(String section, String name) {
    Optional<Double> floor =
        require(
            section,
            "floor",
            "a number from 0 to 1",
            text -> decimal(text).filter(v -> v >= 0 && v <= 1));
    Optional<Integer> slots =
        require(
            section,
            "slots",
            "a whole number from 1 to " + MAX_SLOTS,
            text -> whole(text).filter(v -> v >= 1 && v <= MAX_SLOTS));
    Optional<List<Target>> targets =
        require(
            section,
            "targets",
            "id=ip:port@failure-domain, separated by commas, at least one",
            TeamSettingsParser::targets);
    if (floor.isPresent() && slots.isPresent() && targets.isPresent()) {
      pools.add(new Pool(new PoolId(qualified(name)), floor.get(), slots.get(), targets.get()));
    }
  }

  private void readKey(String section, String name) {
    Optional<String> organisation = reference(section, "organisation", "organisation");
    Optional<KeyHash> hash =
        require(section, "sha256", "64 hexadecimal digits in lower case", KeyHashes::read);
    if (organisation.isPresent() && hash.isPresent()) {
      keys.add(new Key(name, new OrganisationId(qualified(organisation.get())), hash.get()));
    }
  }

  private void readRoute(String section, String name) {
    Optional<String> path =
        require(
            section,
            "path",
            "a path below /" + team + "/ of letters, digits and . _ ~ -",
            text ->
                Optional.of(text)
                    .filter(t -> PATH.matcher(t).matches() && t.startsWith("/" + team + "/")));
    Optional<String> pool = reference(section, "pool", "pool");
    Optional<Set<String>> methods =
        require(section, "methods", "some of " + sorted(METHODS), text -> methods(text, 1));
    Optional<Set<String>> idempotent = idempotent(section, methods);
    Optional<Set<OrganisationId>> allowed = allowed(section);
    Optional<Integer> timeout =
        require(
            section,
            "timeout-ms",
            "a whole number from 1 to " + MAX_TIMEOUT_MS,
            text -> whole(text).filter(v -> v >= 1 && v <= MAX_TIMEOUT_MS));
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

  // A route without the key has no idempotent method: repeating a request must be asked for.
  private Optional<Set<String>> idempotent(String section, Optional<Set<String>> methods) {
    Set<String> allowed = methods.orElse(METHODS);
    String text = document.value(section, "idempotent").orElse("");
    Optional<Set<String>> found = methods(text, 0).filter(allowed::containsAll);
    if (found.isEmpty()) {
      problem(section, "idempotent", "\"" + text + "\"", "some of the methods " + sorted(allowed));
    }
    return found;
  }

  private Optional<Set<OrganisationId>> allowed(String section) {
    Optional<String> text = document.value(section, "organisations");
    if (text.isEmpty() || text.get().isEmpty()) {
      problem(section, "organisations", "nothing", "* or a list of organisations");
      return Optional.empty();
    }
    if ("*".equals(text.get())) {
      return Optional.of(Set.of());
    }
    Set<OrganisationId> allowed = new HashSet<>();
    for (String name : list(text.get())) {
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
        unique(places, target.id(), section, "targets", "target " + target.id());
        String address = target.host() + ":" + target.port();
        unique(places, address, section, "targets", "address " + address);
      }
    }
  }

  private void checkKeys() {
    Map<Object, String> places = new HashMap<>();
    keys.forEach(
        key -> unique(places, key.hash(), "key " + key.name(), "sha256", "the hash of a key"));
  }

  private void checkRoutes() {
    Map<Object, String> places = new HashMap<>();
    for (Route route : routes) {
      String section = "route " + route.name().substring(team.length() + 1);
      unique(places, route.path(), section, "path", "path " + route.path());
    }
  }

  private void unique(
      Map<Object, String> places, Object value, String section, String key, String what) {
    String first = places.putIfAbsent(value, section);
    if (first != null) {
      problem(section, key, what + ", also in [" + first + "]", "each one once");
    }
  }

  private Optional<String> reference(String section, String key, String kind) {
    return require(
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

  private <T> Optional<T> require(
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

  private static Optional<String> name(String text) {
    return Optional.of(text).filter(t -> NAME.matcher(t).matches());
  }

  private static Optional<List<Target>> targets(String text) {
    List<Target> targets = new ArrayList<>();
    for (String entry : list(text)) {
      Matcher matcher = TARGET.matcher(entry);
      if (!matcher.matches()
          || name(matcher.group(1).strip()).isEmpty()
          || name(matcher.group(3).strip()).isEmpty()) {
        return Optional.empty();
      }
      Optional<Target> target =
          Setting.readAddress(matcher.group(2).strip())
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

  private static Optional<Set<String>> methods(String text, int atLeast) {
    Set<String> methods = new HashSet<>(list(text));
    return Optional.of(methods)
        .filter(found -> found.size() >= atLeast && METHODS.containsAll(found));
  }

  private static List<String> list(String text) {
    return Arrays.stream(text.split(",", -1))
        .map(String::strip)
        .filter(word -> !word.isEmpty())
        .toList();
  }

  private static Optional<Double> decimal(String text) {
    try {
      return Optional.of(Double.valueOf(text)).filter(Double::isFinite);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static Optional<Integer> whole(String text) {
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
