package org.bergamotcross.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.bergamotcross.core.config.FoldFixture.edit;
import static org.bergamotcross.core.config.FoldFixture.member;
import static org.bergamotcross.core.config.FoldFixture.withdraw;

import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against edits that are lost, accepted twice or undone. */
class ConfigurationFoldTest {
  private final ConfigurationFold fold = FoldFixture.fold();
  private long nextOffset;

  private FoldResult append(ControlRecord record) {
    return fold.apply(nextOffset++, record);
  }

  private boolean hasKey(String key) {
    return fold.configuration().key(new KeyHash(key)).isPresent();
  }

  @Nested
  class RacingEdits {
    // The order of the log alone decides, and the conflict has to name the winning edit.
    @Test
    void areAcceptedOnceInEachOrder() {
      for (String[] order : new String[][] {{"a", "b"}, {"b", "a"}}) {
        ConfigurationFold raceFold = FoldFixture.fold();
        assertThat(raceFold.apply(0, edit(order[0], "fuel", -1, "k-" + order[0])))
            .isInstanceOf(FoldResult.Accepted.class);
        assertThat(raceFold.apply(1, edit(order[1], "fuel", -1, "k-" + order[1])))
            .isEqualTo(
                new FoldResult.Conflict(
                    Optional.of(new EditReference(order[0], "author-" + order[0], 0))));
        assertThat(raceFold.configuration().key(new KeyHash("k-" + order[0]))).isPresent();
        assertThat(raceFold.configuration().key(new KeyHash("k-" + order[1]))).isEmpty();
      }
    }

    @Test
    void ofTwoTeamsAreBothAccepted() {
      append(edit("a", "fuel", -1, "k1"));
      assertThat(append(edit("b", "glass", -1, "k2"))).isInstanceOf(FoldResult.Accepted.class);
      assertThat(fold.versions()).containsExactly("fuel", 0L, "glass", 1L);
    }
  }

  @Nested
  class RepeatedAppends {
    @Test
    void areReportedAsDuplicates() {
      ControlRecord.Edit edit = edit("a", "fuel", -1, "k1");
      append(edit);
      assertThat(append(edit))
          .isEqualTo(new FoldResult.Duplicate(new EditReference("a", "author-a", 0)));
      assertThat(fold.versions()).containsExactly("fuel", 0L);
    }

    // A refused edit must not take effect later without its author publishing it again.
    @Test
    void ofARefusedEditStayRefused() {
      append(edit("a", "fuel", -1, "shared"));
      ControlRecord.Edit refused = edit("b", "glass", -1, "shared");
      assertThat(append(refused)).isInstanceOf(FoldResult.Invalid.class);
      append(edit("c", "fuel", 0, "other"));
      assertThat(append(refused)).isInstanceOf(FoldResult.Duplicate.class);
      assertThat(hasKey("shared")).isFalse();
    }

    // The set of seen ids is bounded; the version check must refuse repeats of evicted ids.
    @Test
    void thatWereEvictedAreRefused() {
      ControlRecord.Edit edit = edit("first", "fuel", -1, "k1");
      append(edit);
      IntStream.range(0, SeenEdits.CAPACITY + 1)
          .forEach(i -> append(edit("e" + i, "glass", i == 0 ? -1 : i, "")));
      assertThat(append(edit)).isInstanceOf(FoldResult.Conflict.class);
      assertThat(fold.state().seenEdits()).hasSize(SeenEdits.CAPACITY);
    }
  }

  @Nested
  class RefusedEdits {
    @Test
    void leaveTheStateUnchanged() {
      append(edit("a", "fuel", -1, "k1"));
      ControlRecord invalid = new ControlRecord.Edit("b", "/teams/fuel", 0, "x", "no content");
      assertThat(append(invalid)).isInstanceOf(FoldResult.Invalid.class);
      ControlRecord otherTeam = new ControlRecord.Edit("c", "/teams/fuel", 0, "x", "glass:k2");
      assertThat(append(otherTeam)).isInstanceOf(FoldResult.Invalid.class);
      ControlRecord otherPath = new ControlRecord.Edit("d", "/pools/fuel", -1, "x", "fuel:k2");
      assertThat(append(otherPath)).isInstanceOf(FoldResult.Invalid.class);
      assertThat(hasKey("k1")).isTrue();
      assertThat(fold.versions()).containsExactly("fuel", 0L);
      assertThat(fold.offset()).isEqualTo(3);
    }
  }

  @Nested
  class WithdrawnKeys {
    @Test
    void stayWithdrawnWhenALaterEditListsThem() {
      append(edit("a", "fuel", -1, "k1,k2"));
      append(withdraw("w", "k1"));
      append(edit("b", "fuel", 0, "k1,k2"));
      assertThat(hasKey("k1")).isFalse();
      assertThat(hasKey("k2")).isTrue();
      assertThat(append(withdraw("w", "k1"))).isInstanceOf(FoldResult.Unchanged.class);
    }

    @Test
    void stayWithdrawnWhenTheWithdrawalCameFirst() {
      append(withdraw("w", "k1"));
      append(edit("a", "fuel", -1, "k1"));
      assertThat(hasKey("k1")).isFalse();
    }
  }

  @Nested
  class Offsets {
    @Test
    void thatAreAlreadyFoldedHaveNoEffect() {
      append(edit("a", "fuel", -1, "k1"));
      append(edit("b", "fuel", 0, "k2"));
      assertThat(fold.apply(0, edit("a", "fuel", -1, "k1")))
          .isEqualTo(new FoldResult.AlreadyFolded(1));
      assertThat(hasKey("k2")).isTrue();
    }

    @Test
    void thatAreMissingAreReportedAsAGap() {
      assertThat(fold.apply(1, withdraw("w", "k"))).isEqualTo(new FoldResult.Gap(0));
      assertThat(fold.skip(1, "damaged")).isEqualTo(new FoldResult.Gap(0));
      assertThat(fold.skip(0, "damaged")).isInstanceOf(FoldResult.Invalid.class);
      assertThat(fold.offset()).isEqualTo(0);
    }
  }

  @Nested
  class Membership {
    @Test
    void changesTheEpochOnlyWhenItChanges() {
      append(new ControlRecord.Join(member("a", 1)));
      append(new ControlRecord.Join(member("a", 1)));
      assertThat(fold.members().epoch()).isEqualTo(0);
      append(new ControlRecord.Join(member("b", 1)));
      assertThat(fold.members().epoch()).isEqualTo(2);
    }

    // A late leave or expulsion of the incarnation before a restart must not remove the one after
    // it.
    @Test
    void endsOnlyForTheNamedIncarnation() {
      append(new ControlRecord.Join(member("a", 2)));
      append(new ControlRecord.Leave(member("a", 1).id(), 1));
      append(new ControlRecord.Expel(member("a", 1).id(), 1));
      assertThat(fold.members().list()).containsExactly(member("a", 2));
      append(new ControlRecord.Expel(member("a", 2).id(), 2));
      assertThat(fold.members().list()).isEmpty();
    }
  }
}
