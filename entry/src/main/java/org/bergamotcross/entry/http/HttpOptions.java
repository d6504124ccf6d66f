package org.bergamotcross.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.Settings;

/**
 * The settings for forwarding requests and responses.
 *
 * @param names the header names
 * @param responseBufferBytes the largest response body that is read in full before the caller gets
 *     any of it, so that the request can be retried if the response is cut off; 0 disables
 *     buffering
 * @param requestIdEchoed whether targets echo the request id; a response without it then does not
 *     belong to the request
 * @param closeDelimitedAccepted whether the end of the connection may delimit a response body
 * @param fractionalRetryAfter whether callers accept fractions of a second in Retry-After
 */
record HttpOptions(
    HeaderNames names,
    int responseBufferBytes,
    boolean requestIdEchoed,
    boolean closeDelimitedAccepted,
    boolean fractionalRetryAfter) {
  private static final String YES = "yes";
  private static final List<String> YES_OR_NO = List.of(YES, "no");

  private static final Setting<Integer> RESPONSE_BUFFER_BYTES =
      Setting.integer("targets", "buffered-response-bytes", 0, 1 << 24).orDefault("0");
  private static final Setting<String> REQUEST_ID_ECHOED =
      Setting.oneOf("targets", "request-id-echoed", YES_OR_NO).orDefault("no");
  private static final Setting<String> CLOSE_DELIMITED_ACCEPTED =
      Setting.oneOf("targets", "responses-may-end-with-connection", YES_OR_NO).orDefault("no");
  private static final Setting<String> FRACTIONAL_RETRY_AFTER =
      Setting.oneOf("callers", "retry-after-fractions", YES_OR_NO).orDefault("no");

  /** The settings that {@link #of} reads. */
  static List<Setting<?>> settings() {
    List<Setting<?>> all = new ArrayList<>(HeaderNames.SETTINGS);
    all.addAll(
        List.of(
            RESPONSE_BUFFER_BYTES,
            REQUEST_ID_ECHOED,
            CLOSE_DELIMITED_ACCEPTED,
            FRACTIONAL_RETRY_AFTER));
    return all;
  }

  static HttpOptions of(Settings settings) {
    return new HttpOptions(
        HeaderNames.of(settings),
        settings.value(RESPONSE_BUFFER_BYTES),
        settings.value(REQUEST_ID_ECHOED).equals(YES),
        settings.value(CLOSE_DELIMITED_ACCEPTED).equals(YES),
        settings.value(FRACTIONAL_RETRY_AFTER).equals(YES));
  }
}
