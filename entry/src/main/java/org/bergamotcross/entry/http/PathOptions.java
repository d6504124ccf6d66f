package org.bergamotcross.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.Settings;

/**
 * What the settings say about the way of requests and responses.
 *
 * @param names the names of headers
 * @param bufferedBytes responses up to this size are read in full before the caller gets any of
 *     them, so that one that breaks off can be asked for again; 0 buffers none
 * @param idEchoed whether targets repeat the id of the request, so that a response without it is
 *     not the response to that request
 * @param unframedAccepted whether a response may end with its connection
 * @param fractionalRetryAfter whether callers read fractions of a second in Retry-After
 */
record PathOptions(
    HeaderNames names,
    int bufferedBytes,
    boolean idEchoed,
    boolean unframedAccepted,
    boolean fractionalRetryAfter) {
  private static final String YES = "yes";
  private static final List<String> YES_OR_NO = List.of(YES, "no");

  private static final Setting<Integer> BUFFERED_BYTES =
      Setting.integer("targets", "buffered-response-bytes", 0, 1 << 24).orDefault("0");
  private static final Setting<String> ID_ECHOED =
      Setting.oneOf("targets", "request-id-echoed", YES_OR_NO).orDefault("no");
  private static final Setting<String> UNFRAMED =
      Setting.oneOf("targets", "responses-may-end-with-connection", YES_OR_NO).orDefault("no");
  private static final Setting<String> FRACTIONS =
      Setting.oneOf("callers", "retry-after-fractions", YES_OR_NO).orDefault("no");

  /** The settings that {@link #of} reads. */
  static List<Setting<?>> settings() {
    List<Setting<?>> all = new ArrayList<>(HeaderNames.SETTINGS);
    all.addAll(List.of(BUFFERED_BYTES, ID_ECHOED, UNFRAMED, FRACTIONS));
    return all;
  }

  static PathOptions of(Settings settings) {
    return new PathOptions(
        HeaderNames.of(settings),
        settings.value(BUFFERED_BYTES),
        settings.value(ID_ECHOED).equals(YES),
        settings.value(UNFRAMED).equals(YES),
        settings.value(FRACTIONS).equals(YES));
  }
}
