package org.bergamotcross.entry.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.Set;
import org.bergamotcross.core.config.ControlRecord;
import org.bergamotcross.core.config.EditReference;
import org.bergamotcross.core.config.FoldState;
import org.bergamotcross.core.config.KeyHash;
import org.bergamotcross.core.membership.FailureDomain;
import org.bergamotcross.core.membership.InstanceId;
import org.bergamotcross.core.membership.Member;
import org.bergamotcross.core.membership.Members;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against records that are lost or changed by encoding and decoding. */
class ControlRecordCodecTest {
  private static final Member MEMBER =
      new Member(new InstanceId("a"), 7, new FailureDomain("north"), "127.0.0.1:8081");
  private static final KeyHash KEY = new KeyHash("cd".repeat(32));

  @Nested
  class EncodedRecords {
    @Test
    void areDecodedUnchanged() {
      EditReference edit = new EditReference("e1", "vera", 3);
      FoldState state =
          new FoldState(
              9,
              List.of(new FoldState.TeamVersion("fuel", edit, "[team]\nname = fuel\n")),
              Set.of(KEY),
              new Members(8, List.of(MEMBER)),
              List.of(edit));
      List<ControlRecord> records =
          List.of(
              new ControlRecord.Edit("e1", "/teams/fuel", -1, "vera", "[team]\n\u00e9 = \"x\""),
              new ControlRecord.Withdraw("w1", KEY),
              new ControlRecord.Snapshot(state),
              new ControlRecord.Join(MEMBER),
              new ControlRecord.Leave(MEMBER.id(), 7),
              new ControlRecord.Expel(MEMBER.id(), 7));
      for (ControlRecord record : records) {
        assertThat(ControlRecordCodec.decode(ControlRecordCodec.encode(record)))
            .isEqualTo(new ControlRecordCodec.Decoded.Valid(record));
      }
    }

    @Test
    void haveTheDocumentedFields() {
      String json =
          new String(
              ControlRecordCodec.encode(new ControlRecord.Edit("e", "/teams/x", 4, "vera", "c")),
              UTF_8);
      assertThat(json)
          .isEqualTo(
              "{\"type\":\"edit\",\"editId\":\"e\",\"path\":\"/teams/x\",\"basedOn\":4,"
                  + "\"author\":\"vera\",\"content\":\"c\"}");
    }
  }

  @Nested
  class InvalidRecords {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "",
          "not json",
          "[1]",
          "{\"type\":\"later\"}",
          "{\"type\":\"edit\",\"editId\":\"e\"}",
          "{\"type\":\"withdraw\",\"editId\":\"w\",\"keyHash\":\"XYZ\"}",
          "{\"type\":\"leave\",\"instance\":\"a\",\"incarnation\":1.5}",
          "{\"type\":\"snapshot\",\"upTo\":1,\"epoch\":1,\"teams\":{}}"
        })
    void areRejected(String text) {
      assertThat(ControlRecordCodec.decode(text.getBytes(UTF_8)))
          .isInstanceOf(ControlRecordCodec.Decoded.Invalid.class);
    }
  }
}
