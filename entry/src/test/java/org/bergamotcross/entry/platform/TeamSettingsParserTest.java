package org.bergamotcross.entry.platform;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.bergamotcross.core.config.OrganisationId;
import org.bergamotcross.core.config.PoolId;
import org.bergamotcross.core.config.Route;
import org.bergamotcross.core.config.TeamSettings;
import org.bergamotcross.core.config.WeightedPool;
import org.bergamotcross.kernel.SettingProblem;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against parsing a team's settings wrongly and accepting invalid ones. */
class TeamSettingsParserTest {
  static final String HASH = "ab".repeat(32);
  static final String TEXT =
      """
      # The subtree of one team.
      [team]
      name = fuel
      [organisation depot]
      rate = 2.5
      burst = 10
      [key depot-tablet]
      organisation = depot
      sha256 = %s
      [pool routing]
      floor = 0.5
      slots = 4
      targets = r1=127.0.0.1:9001@north, r2=127.0.0.1:9002@south
      [route sheets]
      path = /fuel/sheets
      pool = routing
      methods = GET, POST
      idempotent = GET
      organisations = depot
      timeout-ms = 2000
      """
          .formatted(HASH);

  private static List<String> problemKeys(String text) {
    return ((TeamSettingsParser.Result.Invalid) TeamSettingsParser.parse("team.ini", text))
        .problems().stream().map(p -> p.section() + "|" + p.key()).toList();
  }

  @Nested
  class ValidText {
    private final TeamSettings team =
        ((TeamSettingsParser.Result.Valid) TeamSettingsParser.parse("team.ini", TEXT)).settings();

    @Test
    void isReadIntoAllParts() {
      assertThat(team.team()).isEqualTo("fuel");
      assertThat(team.organisations().get(0).rate()).isEqualTo(2.5);
      assertThat(team.keys().get(0).organisation()).isEqualTo(new OrganisationId("fuel/depot"));
      assertThat(team.pools().get(0).targets()).hasSize(2);
      assertThat(team.pools().get(0).targets().get(1).port()).isEqualTo(9002);
    }

    @Test
    void refersToPartsByQualifiedNames() {
      Route route = team.routes().get(0);
      assertThat(route.pools()).containsExactly(new WeightedPool(new PoolId("fuel/routing"), 1));
      assertThat(route.organisations()).isEqualTo(Set.of(new OrganisationId("fuel/depot")));
      assertThat(route.idempotentMethods()).isEqualTo(Set.of("GET"));
      assertThat(route.limits().timeout()).isEqualTo(Duration.ofSeconds(2));
    }

    @Test
    void opensARouteToAllWithAnAsterisk() {
      String open = TEXT.replace("organisations = depot", "organisations = *");
      TeamSettings all =
          ((TeamSettingsParser.Result.Valid) TeamSettingsParser.parse("team.ini", open)).settings();
      assertThat(all.routes().get(0).organisations()).isEmpty();
    }
  }

  @Nested
  class InvalidText {
    @Test
    void isReportedWithAllProblemsAtOnce() {
      String invalid =
          TEXT.replace("rate = 2.5", "rate = 0")
              .replace("burst = 10", "burst = 0.5")
              .replace("floor = 0.5", "floor = 1.5")
              .replace("sha256 = " + HASH, "sha256 = secret")
              .replace("/fuel/sheets", "/glass/sheets")
              .replace("pool = routing", "pool = absent")
              .replace("idempotent = GET", "idempotent = PUT")
              .replace("organisations = depot", "organisations = absent");
      assertThat(problemKeys(invalid))
          .containsExactly(
              "organisation depot|rate",
              "organisation depot|burst",
              "pool routing|floor",
              "key depot-tablet|sha256",
              "route sheets|path",
              "route sheets|pool",
              "route sheets|idempotent",
              "route sheets|organisations");
    }

    @Test
    void namesTheFoundAndTheExpectedValue() {
      String invalid = TEXT.replace("pool = routing", "pool = absent");
      SettingProblem problem =
          ((TeamSettingsParser.Result.Invalid) TeamSettingsParser.parse("team.ini", invalid))
              .problems()
              .get(0);
      assertThat(problem.toString())
          .isEqualTo("team.ini: [route sheets] pool: found \"absent\"; expected one of routing");
    }

    @Test
    void includesUnknownSectionsAndKeys() {
      assertThat(problemKeys(TEXT + "colour = red\n[queue x]\nsize = 1\n"))
          .containsExactly("route sheets|colour", "queue x|");
    }

    // If two keys had the same hash, a request could run for the invalid organisation.
    @Test
    void includesAKeyThatIsListedTwice() {
      String second = "[key other]\norganisation = depot\nsha256 = " + HASH + "\n";
      assertThat(problemKeys(TEXT + second)).containsExactly("key other|sha256");
    }

    // A target listed under two ids would get twice its number of slots.
    @Test
    void includesATargetThatIsListedTwice() {
      assertThat(problemKeys(TEXT.replace("r2=", "r1="))).containsExactly("pool routing|targets");
      assertThat(problemKeys(TEXT.replace(":9002", ":9001")))
          .containsExactly("pool routing|targets");
    }

    @Test
    void includesAMissingTeam() {
      assertThat(problemKeys("[organisation a]\nrate = 1\nburst = 1\n"))
          .containsExactly("team|name");
    }
  }
}
