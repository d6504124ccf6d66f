package org.bergamotcross.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.Query;
import org.apache.pekko.http.javadsl.model.Uri;

/** Typed access to request parameters that collects validation problems. */
final class Parameters {
  private final Map<String, String> values = new HashMap<>();
  private final Set<String> recognizedNames = new HashSet<>();
  private final List<String> problems = new ArrayList<>();

  /** Parses the query of a request and its URL-encoded form body; the form takes precedence. */
  static Parameters of(HttpRequest request, String form) {
    Parameters parameters = new Parameters();
    parameters.values.putAll(request.getUri().query().toMap());
    if (!form.isBlank()) {
      parameters.values.putAll(Query.create(form.strip()).toMap());
    }
    return parameters;
  }

  /** Parses the query of a URI. */
  static Parameters of(Uri uri) {
    Parameters parameters = new Parameters();
    parameters.values.putAll(uri.query().toMap());
    return parameters;
  }

  Optional<String> text(String name) {
    recognizedNames.add(name);
    return Optional.ofNullable(values.get(name));
  }

  Optional<Long> number(String name) {
    return text(name)
        .flatMap(
            text -> {
              if (text.matches("\\d{1,18}")) {
                return Optional.of(Long.parseLong(text));
              }
              addProblem(name, "a whole number from 0");
              return Optional.empty();
            });
  }

  Optional<Duration> millis(String name) {
    return number(name).map(Duration::ofMillis);
  }

  Optional<Boolean> flag(String name) {
    return text(name)
        .flatMap(
            text -> {
              if (text.equals("true") || text.equals("false")) {
                return Optional.of(text.equals("true"));
              }
              addProblem(name, "true or false");
              return Optional.empty();
            });
  }

  void addProblem(String name, String expected) {
    problems.add(name + ": found \"" + values.getOrDefault(name, "") + "\"; expected " + expected);
  }

  /** Returns all problems, including parameters whose names were never read. */
  List<String> problems() {
    List<String> all = new ArrayList<>(problems);
    values.keySet().stream()
        .filter(name -> !recognizedNames.contains(name))
        .sorted()
        .forEach(
            name ->
                all.add(
                    name
                        + ": found an unknown parameter; expected one of "
                        + String.join(", ", recognizedNames.stream().sorted().toList())));
    return all;
  }
}
