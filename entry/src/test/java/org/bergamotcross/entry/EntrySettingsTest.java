package org.bergamotcross.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bergamotcross.kernel.SettingProblem;
import org.bergamotcross.kernel.Settings;
import org.bergamotcross.kernel.SettingsResult;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an instance that starts with the same address for two listeners. */
class EntrySettingsTest {
  private static SettingsResult read(int callers, int peers, int operations) {
    var addresses =
        List.of(
            EntrySettings.CALLER_ADDRESS,
            EntrySettings.PEER_ADDRESS,
            EntrySettings.OPERATIONS_ADDRESS);
    return Settings.parse(
        "entry.ini",
        """
        [listen]
        callers = 127.0.0.1:%d
        peers = 127.0.0.1:%d
        operations = 127.0.0.1:%d
        """
            .formatted(callers, peers, operations),
        List.copyOf(addresses),
        EntrySettings.requireDistinctAddresses(addresses));
  }

  @Nested
  class Addresses {
    @Test
    void mayAllDiffer() {
      assertThat(read(8080, 8081, 8082)).isInstanceOf(SettingsResult.Loaded.class);
    }

    @Test
    void areReportedForEachEqualPair() {
      List<SettingProblem> problems = ((SettingsResult.Rejected) read(8080, 8081, 8080)).problems();
      assertThat(problems.get(0).toString())
          .isEqualTo(
              "entry.ini: [listen] operations: found 127.0.0.1:8080, the same as [listen] callers;"
                  + " expected an address that nothing else uses");
      assertThat(((SettingsResult.Rejected) read(8080, 8080, 8080)).problems()).hasSize(3);
    }

    // Port 0 stands for any free port, so two addresses with port 0 don't conflict.
    @Test
    void withPortZeroNeverClash() {
      assertThat(read(0, 0, 0)).isInstanceOf(SettingsResult.Loaded.class);
    }
  }
}
