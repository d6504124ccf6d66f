package org.bergamotcross.entry.catalog;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamotcross.core.config.CatalogPosition;
import org.bergamotcross.core.config.TargetChange;
import org.bergamotcross.core.config.TargetId;
import org.bergamotcross.core.config.TargetReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Guards against instances of different builds that can't read each other's messages. */
class CatalogMessagesTest {
  private final ObjectMapper mapper =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private <T> T convert(Record message, Class<T> type) throws IOException {
    return mapper.readValue(mapper.writeValueAsBytes(message), type);
  }

  /** The messages as builds without eras define them. */
  @Nested
  class OlderBuilds {
    record OldUpdate(long settingsEnd, long from, long to, List<OldTarget> changes) {}

    record OldTarget(long offset, String id, String pool, long startedAtMillis, long sequence) {}

    record OldSettingsRead(long settingsEnd) {}

    record OldSyncRequest(long settingsEnd, long targetsEnd) {}

    @Test
    void sendNoEraAndNoVersion() throws IOException {
      OldTarget removed = new OldTarget(6, "a", "", -1, 0);
      CatalogMessages.Update update =
          convert(new OldUpdate(3, 5, 7, List.of(removed)), CatalogMessages.Update.class);
      assertThat(update.end()).isEqualTo(new CatalogPosition(0, 7));
      assertThat(update.settingsVersion()).isEqualTo(0);
      assertThat(update.changes().getFirst().toChange())
          .isEqualTo(
              new TargetChange.Removed(
                  new CatalogPosition(0, 6), new TargetId("a"), Duration.ZERO));
      assertThat(convert(new OldSettingsRead(3), CatalogMessages.SettingsRead.class))
          .isEqualTo(new CatalogMessages.SettingsRead(3, 0, 0));
      assertThat(convert(new OldSyncRequest(3, 7), CatalogMessages.SyncRequest.class))
          .isEqualTo(new CatalogMessages.SyncRequest(3, 7, 0, 0));
    }

    @Test
    void readTheOffsetsOfThisOne() throws IOException {
      assertThat(
              convert(
                  new CatalogMessages.Update(3, 5, 7, List.of(), false, 12, 2), OldUpdate.class))
          .isEqualTo(new OldUpdate(3, 5, 7, List.of()));
      assertThat(convert(new CatalogMessages.SyncRequest(3, 7, 12, 2), OldSyncRequest.class))
          .isEqualTo(new OldSyncRequest(3, 7));
    }
  }

  @Nested
  class ThisBuild {
    // Guards against a removal that loses the report by which a restored entry is recognized.
    @Test
    void keepsTheLastReportOfARemovedTarget() throws IOException {
      TargetChange removed =
          new TargetChange.Removed(
              new CatalogPosition(2, 6),
              new TargetId("a"),
              Duration.ofMillis(40),
              Optional.of(new TargetReport(1_000, 9)));
      CatalogMessages.TargetRecord read =
          convert(CatalogMessages.TargetRecord.of(removed), CatalogMessages.TargetRecord.class);
      assertThat(read.toChange()).isEqualTo(removed);
    }
  }
}
