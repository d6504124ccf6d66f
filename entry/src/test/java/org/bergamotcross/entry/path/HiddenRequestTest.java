package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a request in the body of another one that reaches a target. */
class HiddenRequestTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final Duration TIME_TO_ARRIVE = Duration.ofMillis(500);

  @Nested
  class BehindAFieldThatEndsWithinACharacter {
    // The parser completes the character with the line end and drops the Content-Length behind it.
    @Test
    void isNotPassedOn() throws Exception {
      String hidden = "GET /team/open/hidden HTTP/1.1\r\nHost: entry\r\n" + KEY + "\r\n\r\n";
      try (RawTarget target = RawTarget.echo();
          EntryInstance entry = EntryInstance.start(List.of(target.port()));
          RawCaller caller = new RawCaller(entry.port())) {
        caller.sendRequest(
            "POST /team/open/r HTTP/1.1\r\nX-Field: caf\u00e9\r\nContent-Length: "
                + hidden.length(),
            hidden,
            KEY);
        Thread.sleep(TIME_TO_ARRIVE);
        assertThat(target.requests().stream().map(RawTarget.Message::name).toList())
            .doesNotContain("hidden");
      }
    }
  }
}
