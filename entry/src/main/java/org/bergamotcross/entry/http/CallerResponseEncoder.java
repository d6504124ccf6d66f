package org.bergamotcross.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.bergamotcross.core.admission.Refusal;
import org.bergamotcross.core.admission.StoredResponse;

/** Encodes the responses that callers get. */
final class CallerResponseEncoder {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String REFUSAL_HEADER = "X-Bergamotcross-Refusal";
  private static final String OUTCOME_HEADER = "X-Bergamotcross-Outcome";
  // Only this instance may set these headers, so those of a target are removed.
  private static final Set<String> RESERVED_HEADERS =
      Set.of(REFUSAL_HEADER.toLowerCase(Locale.ROOT), OUTCOME_HEADER.toLowerCase(Locale.ROOT));

  // Another instance can serve the request immediately.
  private static final Duration OTHER_INSTANCE_RETRY_AFTER = Duration.ofMillis(50);
  // A slot becomes free after the typical duration of a request.
  private static final Duration BUSY_RETRY_AFTER = Duration.ofMillis(400);

  private final HttpOptions options;

  CallerResponseEncoder(HttpOptions options) {
    this.options = options;
  }

  /**
   * Encodes a refusal as an HTTP response with a JSON body.
   *
   * @param requestId the request id
   * @param refusal the refusal
   * @return the response
   */
  HttpResponse fromRefusal(String requestId, Refusal refusal) {
    List<HttpHeader> headers = new ArrayList<>();
    headers.add(RawHeader.create(options.names().requestId(), requestId));
    headers.add(RawHeader.create(REFUSAL_HEADER, refusal.code()));
    headers.add(RawHeader.create(OUTCOME_HEADER, refusal.outcome().label()));
    retryAfter(refusal)
        .ifPresent(d -> headers.add(RawHeader.create("Retry-After", formatSeconds(d))));
    return HttpResponse.create()
        .withStatus(status(refusal))
        .withHeaders(headers)
        .withEntity(
            HttpEntities.create(ContentTypes.APPLICATION_JSON, encodeBody(requestId, refusal)));
  }

  /**
   * Encodes the stored response to an earlier request with the same idempotency key.
   *
   * @param requestId the request id
   * @param stored the stored response
   * @return the response
   */
  HttpResponse fromStoredResponse(String requestId, StoredResponse stored) {
    return HttpResponse.create()
        .withStatus(stored.status())
        .addHeader(RawHeader.create(options.names().requestId(), requestId))
        .withEntity(HttpEntities.create(contentType(stored.contentType()), stored.body()));
  }

  /**
   * Encodes a target's response for the caller.
   *
   * @param requestId the request id
   * @param response the target's response
   * @param entity the entity to send
   * @return the response without hop-by-hop and reserved headers
   */
  HttpResponse fromTarget(String requestId, HttpResponse response, ResponseEntity entity) {
    Set<String> dropped = HopByHopHeaders.names(response);
    List<HttpHeader> headers = new ArrayList<>();
    for (HttpHeader header : response.getHeaders()) {
      String name = header.lowercaseName();
      boolean reserved =
          RESERVED_HEADERS.contains(name) || options.names().isReservedInResponses(name);
      if (!reserved && !dropped.contains(name)) {
        headers.add(header);
      }
    }
    headers.add(RawHeader.create(options.names().requestId(), requestId));
    return HttpResponse.create()
        .withStatus(response.status())
        .withHeaders(headers)
        .withEntity(entity);
  }

  /**
   * Adds {@code Connection: close}, so that the caller opens a new connection for its next request.
   *
   * @param response the response
   * @return the response with {@code Connection: close}
   */
  static HttpResponse withConnectionClose(HttpResponse response) {
    return HopByHopHeaders.closesConnection(response)
        ? response
        : response.addHeader(Connection.create("close"));
  }

  private static int status(Refusal refusal) {
    return switch (refusal) {
      case Refusal.MissingKey ignored -> 401;
      case Refusal.UnknownKey ignored -> 401;
      case Refusal.WithdrawnKey ignored -> 401;
      case Refusal.ConflictingKeys ignored -> 401;
      case Refusal.OrganisationNotAllowed ignored -> 403;
      case Refusal.NoRoute ignored -> 404;
      case Refusal.MethodNotAllowed ignored -> 405;
      case Refusal.BadRequestHeader ignored -> 400;
      case Refusal.BodyTooLarge ignored -> 413;
      case Refusal.RateExceeded ignored -> 429;
      case Refusal.Overloaded ignored -> 503;
      case Refusal.NoTarget ignored -> 503;
      case Refusal.TargetsPaused ignored -> 503;
      case Refusal.PoolFull ignored -> 503;
      case Refusal.Stopping ignored -> 503;
      case Refusal.NotReady ignored -> 503;
      case Refusal.StaleConfiguration ignored -> 503;
      case Refusal.ClaimUnavailable ignored -> 503;
      case Refusal.TargetRefused ignored -> 503;
      // The request has not run; status 504 would leave that open.
      case Refusal.DeadlineBeforeSend ignored -> 503;
      case Refusal.DeadlineAfterSend ignored -> 504;
      case Refusal.TargetFailed ignored -> 502;
      case Refusal.AlreadyClaimed ignored -> 409;
    };
  }

  /** Explains the refusal and what the caller can do; never contains a key. */
  private static String detail(Refusal refusal) {
    return switch (refusal) {
      case Refusal.MissingKey ignored ->
          "no key; send Authorization: Bearer <key> or X-Api-Key: <key>";
      case Refusal.UnknownKey ignored -> "no organisation has this key";
      case Refusal.WithdrawnKey ignored -> "this key was withdrawn";
      case Refusal.ConflictingKeys ignored -> "two different keys; send one";
      case Refusal.OrganisationNotAllowed r ->
          "route " + r.route() + " is not open to the organisation of this key";
      case Refusal.NoRoute r -> "no route has a path that starts " + r.path();
      case Refusal.MethodNotAllowed r ->
          "route " + r.route() + " does not take the method " + r.method();
      case Refusal.BadRequestHeader r -> r.header() + " is wrong; expected " + r.expected();
      case Refusal.BodyTooLarge r -> "the body is larger than " + r.limitBytes() + " bytes";
      case Refusal.RateExceeded ignored -> "the organisation has used its rate and burst";
      case Refusal.Overloaded r -> r.queue() + " is full; try again";
      case Refusal.NoTarget r -> "no target of pool " + r.pool() + " may be used";
      case Refusal.TargetsPaused r ->
          "all targets of pool " + r.pool() + " asked for a pause; try again after it";
      case Refusal.PoolFull r ->
          "pool " + r.pool() + " has too little room for all requests; try again";
      case Refusal.Stopping ignored -> "this instance is stopping; open a new connection";
      case Refusal.NotReady ignored -> "this instance has no confirmed configuration yet";
      case Refusal.StaleConfiguration ignored ->
          "this instance cannot confirm its configuration; use another one";
      case Refusal.ClaimUnavailable r -> "the idempotency key cannot be recorded: " + r.reason();
      case Refusal.TargetRefused r -> "target " + r.target() + " did not run the request";
      case Refusal.DeadlineBeforeSend ignored -> "the deadline passed before the request was sent";
      case Refusal.DeadlineAfterSend r -> "the deadline passed while target " + r.target() + " ran";
      case Refusal.TargetFailed r ->
          "the connection to target " + r.target() + " broke before the response was complete";
      case Refusal.AlreadyClaimed ignored -> "another attempt has the same idempotency key";
    };
  }

  private static Optional<Duration> retryAfter(Refusal refusal) {
    return switch (refusal) {
      case Refusal.RateExceeded r -> Optional.of(r.retryAfter());
      case Refusal.TargetRefused r -> r.retryAfter();
      case Refusal.Stopping ignored -> Optional.of(OTHER_INSTANCE_RETRY_AFTER);
      case Refusal.Overloaded ignored -> Optional.of(BUSY_RETRY_AFTER);
      case Refusal.NoTarget ignored -> Optional.of(BUSY_RETRY_AFTER);
      case Refusal.TargetsPaused r -> Optional.of(r.retryAfter());
      case Refusal.PoolFull r -> Optional.of(r.retryAfter());
      case Refusal.NotReady ignored -> Optional.of(OTHER_INSTANCE_RETRY_AFTER);
      default -> Optional.empty();
    };
  }

  private String formatSeconds(Duration duration) {
    if (options.fractionalRetryAfter()) {
      return String.format(Locale.ROOT, "%.3f", duration.toMillis() / 1e3);
    }
    return Long.toString(Math.max(1, duration.plusMillis(999).toSeconds()));
  }

  private static byte[] encodeBody(String requestId, Refusal refusal) {
    Map<String, String> body = new LinkedHashMap<>();
    body.put("refusal", refusal.code());
    body.put("outcome", refusal.outcome().label());
    body.put("request", requestId);
    body.put("detail", detail(refusal));
    try {
      return JSON.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      return "{}".getBytes(StandardCharsets.UTF_8);
    }
  }

  private static ContentType contentType(String text) {
    return text.isEmpty() ? ContentTypes.NO_CONTENT_TYPE : ContentTypes.parse(text);
  }
}
