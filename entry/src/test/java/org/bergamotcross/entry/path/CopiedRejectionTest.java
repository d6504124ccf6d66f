package org.bergamotcross.entry.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against reporting "not run" for a request that runs, because a target wrote an earlier
 * rejection once more on a connection that was in use again.
 */
class CopiedRejectionTest {
  private static final String KEY = RawCaller.bearerHeader(EntryInstance.KEY);
  private static final String HEADERS =
      """
      [headers]
      request-id = X-Try
      not-run = X-Untouched
      """;
  private static final String ECHOED = HEADERS + "[targets]\nrequest-id-echoed = yes\n";

  private static EntryInstance start(String sections, RawTarget... targets) throws Exception {
    return EntryInstance.startWith(sections, Arrays.stream(targets).map(RawTarget::port).toList());
  }

  private static String rejection(String idHeader) {
    return "HTTP/1.1 503 Busy\r\n" + idHeader + "X-Untouched: 1\r\nContent-Length: 0\r\n\r\n";
  }

  private static String namedRejection(RawTarget.Message request) {
    return rejection("X-Try: " + request.header("x-try") + "\r\n");
  }

  private static String done(RawTarget.Message request) {
    return "HTTP/1.1 200 OK\r\nX-Try: "
        + request.header("x-try")
        + "\r\nContent-Length: 4\r\n\r\ndone";
  }

  /**
   * Rejects the first request with each id. Where the same id returns on the same connection, the
   * target begins to run the request, but first writes a copy of the rejection.
   */
  private static final class CopyingTarget implements RawTarget.RequestHandler {
    private final Map<String, RawTarget.Connection> rejectedOn = new ConcurrentHashMap<>();
    final AtomicInteger runs = new AtomicInteger();

    @Override
    public void handle(RawTarget.Connection connection, RawTarget.Message request)
        throws Exception {
      String id = request.header("x-try");
      RawTarget.Connection earlier = rejectedOn.putIfAbsent(id, connection);
      if (earlier == null) {
        connection.write(namedRejection(request));
        return;
      }
      runs.incrementAndGet();
      connection.write(
          earlier.socket().equals(connection.socket()) ? namedRejection(request) : done(request));
    }
  }

  @Nested
  class SameRequestId {
    @Test
    void nextAttemptUsesAnotherConnection() throws Exception {
      CopyingTarget copying = new CopyingTarget();
      try (RawTarget target = new RawTarget(copying);
          EntryInstance entry = start(ECHOED, target);
          RawCaller caller = new RawCaller(entry.port())) {
        RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
        assertThat(copying.runs.get()).isEqualTo(1);
        assertThat(RawCaller.status(order)).isEqualTo(200);
        assertThat(order.body()).isEqualTo("done");
      }
    }

    // A caller may choose the id of another caller's request.
    @Test
    void otherRequestUsesAnotherConnection() throws Exception {
      AtomicInteger requests = new AtomicInteger();
      RawTarget.RequestHandler copiesLater =
          (connection, request) ->
              connection.write(
                  requests.getAndIncrement() == 0 ? done(request) : namedRejection(request));
      try (RawTarget target = new RawTarget(copiesLater);
          EntryInstance entry = start(ECHOED, target);
          RawCaller caller = new RawCaller(entry.port())) {
        caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
        caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
        assertThat(target.acceptedConnections()).isAtLeast(2);
      }
    }
  }

  @Nested
  class ManyRequests {
    // Guards against a request that fails because its connection has carried as many as it may.
    @Test
    void useAnotherConnectionInTime() throws Exception {
      RawTarget.RequestHandler answers = (connection, request) -> connection.write(done(request));
      try (RawTarget target = new RawTarget(answers);
          EntryInstance entry = start(ECHOED, target);
          RawCaller caller = new RawCaller(entry.port())) {
        for (int i = 0; i < 600; i++) {
          RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t" + i);
          assertThat(order.body()).isEqualTo("done");
        }
        assertThat(target.acceptedConnections()).isAtLeast(3);
      }
    }
  }

  @Nested
  class RejectionWithoutRequestId {
    @Test
    void isNoProofOnAReusedConnection() throws Exception {
      AtomicInteger requests = new AtomicInteger();
      RawTarget.RequestHandler copiesUnnamed =
          (connection, request) ->
              connection.write(requests.getAndIncrement() == 0 ? done(request) : rejection(""));
      try (RawTarget target = new RawTarget(copiesUnnamed);
          EntryInstance entry = start(ECHOED, target);
          RawCaller caller = new RawCaller(entry.port())) {
        caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
        RawTarget.Message order = caller.send("POST", "/team/open/r", "", KEY, "X-Try: t2");
        assertThat(target.acceptedConnections()).isEqualTo(1);
        assertThat(RawCaller.refusalAndOutcome(order)).isEqualTo("target-failed/unknown");
      }
    }

    @Test
    void endsItsConnection() throws Exception {
      AtomicInteger requests = new AtomicInteger();
      RawTarget.RequestHandler rejectsFirst =
          (connection, request) ->
              connection.write(requests.getAndIncrement() == 0 ? rejection("") : done(request));
      try (RawTarget target = new RawTarget(rejectsFirst);
          EntryInstance entry = start(HEADERS, target);
          RawCaller caller = new RawCaller(entry.port())) {
        caller.send("POST", "/team/open/r", "", KEY, "X-Try: t1");
        caller.send("POST", "/team/open/r", "", KEY, "X-Try: t2");
        assertThat(target.acceptedConnections()).isAtLeast(2);
      }
    }
  }
}
