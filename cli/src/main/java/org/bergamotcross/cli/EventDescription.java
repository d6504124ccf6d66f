package org.bergamotcross.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Describes the meaning of a log event in one sentence. */
final class EventDescription {
  private static final List<String> OMITTED_KEYS = List.of("time", "event", "request", "reason");

  private EventDescription() {}

  /** Returns a sentence, followed by the reason if the event has one. */
  static String of(LogEvent event) {
    String reason =
        Optional.ofNullable(event.values().get("reason"))
            .map(r -> " Reason: " + r + ".")
            .orElse("");
    return describe(event) + reason;
  }

  private static String describe(LogEvent event) {
    return switch (event.name()) {
      case "route.chosen" ->
          "Attempt "
              + event.value("attempt")
              + " was sent to target "
              + event.value("target")
              + " of pool "
              + event.value("pool")
              + ".";
      case "route.queued" ->
          "The request began to wait for a target of pool " + event.value("pool") + ".";
      case "route.retried" ->
          "Attempt "
              + event.value("attempt")
              + " at target "
              + event.value("target")
              + " failed; the request is sent again after "
              + event.value("delay-ms")
              + " ms.";
      case "route.stalled" ->
          "Attempt "
              + event.value("attempt")
              + " at target "
              + event.value("target")
              + " takes longer than usual for its route: "
              + event.value("age-ms")
              + " ms.";
      case "route.refused" ->
          "Routing ended the request after "
              + event.value("attempts")
              + " attempt(s) and "
              + event.value("age-ms")
              + " ms; outcome "
              + event.value("outcome")
              + ".";
      case "request.completed" ->
          "The request of organisation "
              + event.value("organisation")
              + " ended at target "
              + event.value("target")
              + " with result "
              + event.value("result")
              + " after "
              + event.value("attempts")
              + " attempt(s) and "
              + event.value("total-us")
              + " microseconds.";
      case "request.refused" ->
          "The request was refused with "
              + event.value("refusal")
              + "; outcome "
              + event.value("outcome")
              + ".";
      case "caller.gone" -> "The caller closed its connection before it had the whole response.";
      case "admission.waiting" ->
          "The request of organisation "
              + event.value("organisation")
              + " began to wait for its turn within the rate.";
      case "admission.admitted" ->
          "The request of organisation "
              + event.value("organisation")
              + " was admitted after "
              + event.value("waited-us")
              + " microseconds.";
      case "admission.refused" ->
          "Admission refused the request; outcome " + event.value("outcome") + ".";
      case "claim.granted" -> "The idempotency key was claimed for this request.";
      case "claim.answered" -> "The request repeats an earlier one and got the first response.";
      case "claim.ended" ->
          "The claim of the idempotency key ended with outcome " + event.value("outcome") + ".";
      case "target.ejected" ->
          describeTarget(event)
              + " gets no more work from any instance: "
              + describeFault(event)
              + " The next trial is in "
              + event.value("trial-in-ms")
              + " ms.";
      case "target.path-fault" ->
          describeTarget(event)
              + " gets no more work from this failure domain only: "
              + describeFault(event);
      case "target.ejection-refused" ->
          describeTarget(event)
              + " looks faulty but stays in use, because only "
              + event.value("left")
              + " targets would be left and the floor is "
              + event.value("floor")
              + ": "
              + describeFault(event);
      case "target.trial" -> describeTarget(event) + " gets one idempotent request as a trial.";
      case "target.trial-failed" ->
          describeTarget(event)
              + " failed its trial; the next one is in "
              + event.value("trial-in-ms")
              + " ms.";
      case "target.readmitted" ->
          describeTarget(event)
              + " gets work again, with weight "
              + event.value("weight")
              + ", after "
              + event.value("cause")
              + ".";
      case "target.leaving" -> describeTarget(event) + " is leaving and gets no new work.";
      case "target.announced-leaving" ->
          "Target "
              + event.value("target")
              + " announced that it is leaving and gets no new work until it starts again.";
      case "target.paused" ->
          "Target "
              + event.value("target")
              + " rejected a request and gets none from this instance for "
              + event.value("requested-ms")
              + " ms.";
      default -> "Event " + event.name() + formatPairs(event.values()) + ".";
    };
  }

  private static String describeTarget(LogEvent event) {
    return "Target " + event.value("target") + " of pool " + event.value("pool");
  }

  private static String describeFault(LogEvent event) {
    return "fault "
        + event.value("fault")
        + ", seen by "
        + event.value("observers")
        + " instance(s) in "
        + event.value("failure-domains")
        + " failure domain(s), oldest request "
        + event.value("age-ms")
        + " ms against a threshold of "
        + event.value("threshold-ms")
        + " ms.";
  }

  private static String formatPairs(Map<String, String> values) {
    String text =
        values.entrySet().stream()
            .filter(pair -> !OMITTED_KEYS.contains(pair.getKey()))
            .map(pair -> pair.getKey() + " " + pair.getValue())
            .collect(Collectors.joining(", "));
    return text.isEmpty() ? "" : ": " + text;
  }
}
