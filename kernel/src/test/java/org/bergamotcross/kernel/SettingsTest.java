package org.bergamotcross.kernel;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against settings files that are misread or rejected without a useful message. */
class SettingsTest {
  private static final Setting<String> ID = Setting.name("instance", "id");
  private static final Setting<Integer> QUEUE =
      Setting.integer("limits", "queue", 1, 100).orDefault("10");
  private static final Setting<Integer> RING = Setting.integer("limits", "ring", 1, 100);

  private static SettingsResult parse(String text, SettingRule... rules) {
    return Settings.parse("entry.ini", text, List.of(ID, QUEUE, RING), List.of(rules));
  }

  private static List<String> problems(SettingsResult result) {
    return switch (result) {
      case SettingsResult.Loaded loaded -> List.of();
      case SettingsResult.Rejected rejected ->
          rejected.problems().stream().map(SettingProblem::toString).toList();
    };
  }

  @Nested
  class ValidFile {
    @Test
    void returnsValuesAndDefaults() {
      SettingsResult result = parse("# comment\n[instance]\nid = entry-1\n[limits]\nring = 64\n");
      assertThat(result).isInstanceOf(SettingsResult.Loaded.class);
      Settings settings = ((SettingsResult.Loaded) result).settings();
      assertThat(settings.value(ID)).isEqualTo("entry-1");
      assertThat(settings.value(QUEUE)).isEqualTo(10);
      assertThat(settings.value(RING)).isEqualTo(64);
    }
  }

  @Nested
  class InvalidFile {
    // Reporting one problem at a time would cost an operator one restart per problem.
    @Test
    void reportsAllProblemsTogether() {
      SettingsResult result =
          parse("[instance]\nid = Entry 1\nname = x\n[limits]\nqueue = 0\n[platfrom]\na = b\n");
      assertThat(problems(result))
          .containsExactly(
              "entry.ini: [instance] name: found an unknown key; expected one of id",
              "entry.ini: [platfrom]: found an unknown section; expected one of instance, limits",
              "entry.ini: [instance] id: found \"Entry 1\"; expected lower-case letters, digits and"
                  + " hyphens, at most 63",
              "entry.ini: [limits] queue: found \"0\"; expected a whole number from 1 to 100",
              "entry.ini: [limits] ring: found nothing; expected a whole number from 1 to 100");
    }

    @Test
    void reportsContradictions() {
      SettingRule rule =
          settings ->
              settings.value(QUEUE) > settings.value(RING)
                  ? Optional.of(
                      new SettingProblem(
                          settings.file(), "limits", "queue", "more than ring", "at most ring"))
                  : Optional.empty();
      SettingsResult result = parse("[instance]\nid = a\n[limits]\nqueue = 20\nring = 10\n", rule);
      assertThat(problems(result))
          .containsExactly(
              "entry.ini: [limits] queue: found more than ring; expected at most ring");
    }

    @Test
    void reportsDuplicateKeys() {
      assertThat(problems(parse("[instance]\nid = a\nid = b\n")))
          .containsExactly("entry.ini: [instance] id: found the key twice; expected the key once");
    }
  }

  @Nested
  class Values {
    @Test
    void keepCommasDotsAndDollarSigns() {
      IniResult result = IniDocument.parse("t.ini", "[route a.b]\nx.y = a=1, ${b}; c\n");
      assertThat(((IniResult.Parsed) result).document().value("route a.b", "x.y"))
          .hasValue("a=1, ${b}; c");
    }
  }

  @Nested
  class Durations {
    private final Setting<Duration> wait = Setting.duration("limits", "wait");

    @Test
    void requireAUnit() {
      assertThat(wait.parser().parse("5s")).hasValue(Duration.ofSeconds(5));
      assertThat(wait.parser().parse("2.5s")).hasValue(Duration.ofMillis(2_500));
      assertThat(wait.parser().parse("40ms")).hasValue(Duration.ofMillis(40));
    }

    @Test
    void rejectZeroAndMalformedText() {
      for (String text : List.of("", "5", "5 s", "5m", "-1s", "0s", ".5s", "1e3ms")) {
        assertThat(wait.parser().parse(text)).isEmpty();
      }
    }
  }
}
