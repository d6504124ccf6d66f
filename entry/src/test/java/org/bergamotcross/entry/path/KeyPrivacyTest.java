package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.junit.jupiter.api.Nested;

/** Guards against forwarding a caller's key to a target (invariant 3). */
class KeyPrivacyTest {
  private static RawTarget target;
  private static EntryInstance entry;

  @BeforeContainer
  static void start() throws Exception {
    target = RawTarget.echo();
    entry = EntryInstance.start(List.of(target.port()));
  }

  @AfterContainer
  static void stop() throws Exception {
    entry.close();
    target.close();
  }

  @Group
  @Nested
  class Headers {
    @Property(seed = "7301", tries = 150)
    void withAKeyNeverReachATarget(@ForAll("keyHeaders") List<String> headers) throws Exception {
      try (RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message response = caller.get("/team/open/x", headers.toArray(String[]::new));
        assertThat(RawCaller.status(response)).isEqualTo(200);
      }
      String seen = target.requests().getLast().head();
      assertThat(seen).doesNotContain(EntryInstance.KEY);
      assertThat(seen.toLowerCase(Locale.ROOT)).doesNotContain("authorization");
      assertThat(seen.toLowerCase(Locale.ROOT)).doesNotContain("x-api-key");
    }

    @Property(seed = "7302", tries = 100)
    void setByTheProxyCarryItsValuesOnly(@ForAll("forgedHeaders") List<String> headers)
        throws Exception {
      try (RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message response = caller.get("/team/open/x", headers.toArray(String[]::new));
        assertThat(RawCaller.status(response)).isEqualTo(200);
      }
      RawTarget.Message seen = target.requests().getLast();
      assertThat(seen.header("x-organisation")).isEqualTo("team/customer");
      assertThat(seen.header("x-attempt")).isEqualTo("1");
      assertThat(seen.head()).doesNotContain("forged");
    }

    @Provide
    Arbitrary<List<String>> keyHeaders() {
      Arbitrary<String> bearer =
          Combinators.combine(anyCase("Authorization"), anyCase("Bearer"), blanks())
              .as((name, scheme, blank) -> name + ":" + blank + scheme + " " + EntryInstance.KEY);
      Arbitrary<String> apiKey =
          Combinators.combine(anyCase("X-Api-Key"), blanks())
              .as((name, blank) -> name + ":" + blank + EntryInstance.KEY + blank);
      Arbitrary<String> connection =
          Combinators.combine(
                  anyCase("Connection"),
                  anyCase("X-Api-Key"),
                  anyCase("Authorization"),
                  Arbitraries.of(", ", ",", " ,\t"))
              .as((name, a, b, comma) -> name + ": " + a + comma + b);
      Arbitrary<String> otherHeader =
          anyCase("X-Forwarded-Authorization").map(name -> name + ": Bearer " + EntryInstance.KEY);
      Arbitrary<List<String>> more =
          Arbitraries.oneOf(bearer, apiKey, connection, otherHeader).list().ofMaxSize(4);
      return Combinators.combine(Arbitraries.oneOf(bearer, apiKey), more)
          .as(
              (first, rest) -> {
                List<String> all = new java.util.ArrayList<>(rest);
                all.add(rest.size() / 2, first);
                return all;
              });
    }

    @Provide
    Arbitrary<List<String>> forgedHeaders() {
      Arbitrary<String> names =
          Arbitraries.of("X-Organisation", "X-Attempt", "X-Request-Deadline", "Keep-Alive", "TE")
              .flatMap(this::anyCase);
      return names
          .map(name -> name + ": forged")
          .list()
          .ofMaxSize(4)
          .map(
              forged -> {
                List<String> all = new java.util.ArrayList<>(forged);
                all.add("Connection: X-Organisation, X-Attempt, X-Named");
                all.add("x-named: forged");
                all.add(RawCaller.bearerHeader(EntryInstance.KEY));
                return all;
              });
    }

    private Arbitrary<String> blanks() {
      return Arbitraries.of("", " ", "\t", "  ");
    }

    private Arbitrary<String> anyCase(String name) {
      return Arbitraries.integers()
          .between(0, Integer.MAX_VALUE)
          .map(
              bits -> {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < name.length(); i++) {
                  char c = name.charAt(i);
                  boolean upper = (bits >> (i % 31) & 1) == 1;
                  text.append(upper ? Character.toUpperCase(c) : Character.toLowerCase(c));
                }
                return text.toString();
              });
    }
  }
}
