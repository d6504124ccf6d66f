package org.bergamotcross.entry.http;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.Settings;

/**
 * The names of the headers that callers, this instance and targets use to exchange metadata of a
 * request. A deployment sets its own names in section {@code [headers]}.
 *
 * @param requestId the request id, from the caller and to the target
 * @param timeout how long the caller waits, in ms, from the caller
 * @param idempotencyKey the key under which a caller repeats a request, from the caller
 * @param organisation the organisation of the request, to the target
 * @param deadline the caller's deadline as Unix time in ms, to the target
 * @param timeLeft the time until the caller's deadline in ms, to the target
 * @param attempt the number of the attempt, to the target
 * @param expectedTarget the id of the intended target, to the target
 * @param notRun whether the target has not run the request, from the target
 * @param draining whether the target is draining, from the target
 */
record HeaderNames(
    String requestId,
    String timeout,
    String idempotencyKey,
    String organisation,
    Optional<String> deadline,
    Optional<String> timeLeft,
    Optional<String> attempt,
    Optional<String> expectedTarget,
    String notRun,
    String draining) {
  private static final String SECTION = "headers";
  private static final String NONE = "none";
  private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9-]{1,64}");

  private static final Setting<String> REQUEST_ID = header("request-id", "X-Request-Id");
  private static final Setting<String> TIMEOUT = header("timeout", "X-Request-Timeout-Ms");
  private static final Setting<String> IDEMPOTENCY_KEY =
      header("idempotency-key", "Idempotency-Key");
  private static final Setting<String> ORGANISATION = header("organisation", "X-Organisation");
  private static final Setting<String> DEADLINE = header("deadline", "X-Request-Deadline");
  private static final Setting<String> TIME_LEFT = header("time-left", NONE);
  private static final Setting<String> ATTEMPT = header("attempt", "X-Attempt");
  private static final Setting<String> EXPECTED_TARGET = header("expected-target", NONE);
  private static final Setting<String> NOT_RUN = header("not-run", "X-Not-Run");
  private static final Setting<String> DRAINING = header("draining", "X-Draining");

  /** The settings that {@link #of} reads. */
  static final List<Setting<?>> SETTINGS =
      List.of(
          REQUEST_ID,
          TIMEOUT,
          IDEMPOTENCY_KEY,
          ORGANISATION,
          DEADLINE,
          TIME_LEFT,
          ATTEMPT,
          EXPECTED_TARGET,
          NOT_RUN,
          DRAINING);

  static HeaderNames of(Settings settings) {
    return new HeaderNames(
        settings.value(REQUEST_ID),
        settings.value(TIMEOUT),
        settings.value(IDEMPOTENCY_KEY),
        settings.value(ORGANISATION),
        optionalName(settings.value(DEADLINE)),
        optionalName(settings.value(TIME_LEFT)),
        optionalName(settings.value(ATTEMPT)),
        optionalName(settings.value(EXPECTED_TARGET)),
        settings.value(NOT_RUN),
        settings.value(DRAINING));
  }

  /** Tells whether a caller's header is consumed here or replaced before it goes to a target. */
  boolean isReservedInRequests(String lowercaseName) {
    return matches(requestId, lowercaseName)
        || matches(timeout, lowercaseName)
        || matches(organisation, lowercaseName)
        || matches(deadline, lowercaseName)
        || matches(timeLeft, lowercaseName)
        || matches(attempt, lowercaseName)
        || matches(expectedTarget, lowercaseName);
  }

  /** Tells whether a target's header is consumed here and not passed on to the caller. */
  boolean isReservedInResponses(String lowercaseName) {
    return matches(requestId, lowercaseName)
        || matches(notRun, lowercaseName)
        || matches(draining, lowercaseName);
  }

  static boolean matches(String header, String lowercaseName) {
    return header.toLowerCase(Locale.ROOT).equals(lowercaseName);
  }

  private static boolean matches(Optional<String> header, String lowercaseName) {
    return header.isPresent() && matches(header.get(), lowercaseName);
  }

  private static Optional<String> optionalName(String name) {
    return Optional.of(name).filter(n -> !n.equals(NONE));
  }

  private static Setting<String> header(String key, String name) {
    return new Setting<>(
        SECTION,
        key,
        "the name of a header, or " + NONE + " where it may be left out",
        Optional.of(name),
        text -> Optional.of(text).filter(t -> TOKEN.matcher(t).matches()));
  }
}
