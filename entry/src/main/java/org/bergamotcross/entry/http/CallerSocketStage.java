package org.bergamotcross.entry.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.BidiShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.bergamotcross.kernel.TimeSource;

/**
 * The stage between a caller's socket and Pekko's parser: frames requests with {@link
 * RequestFramer} and reports to {@link CallerMemory} what the connection holds and waits for.
 */
final class CallerSocketStage
    extends GraphStage<BidiShape<ByteString, ByteString, ByteString, ByteString>> {
  private static final class ClosedException extends IOException {
    private static final long serialVersionUID = 1L;

    ClosedException() {
      super("the connection exceeds the bounds of callers' connections");
    }
  }

  private static final String LINGER = "linger";

  private final Inlet<ByteString> requestsIn = Inlet.create("CallerSocket.requestsIn");
  private final Outlet<ByteString> requestsOut = Outlet.create("CallerSocket.requestsOut");
  private final Inlet<ByteString> responsesIn = Inlet.create("CallerSocket.responsesIn");
  private final Outlet<ByteString> responsesOut = Outlet.create("CallerSocket.responsesOut");
  private final BidiShape<ByteString, ByteString, ByteString, ByteString> shape =
      new BidiShape<>(responsesIn, responsesOut, requestsIn, requestsOut);
  private final CallerMemory memory;
  private final BooleanSupplier requestOpen;
  private final int maxHeadBytes;
  private final Duration lingerTimeout;
  private final TimeSource time;

  /**
   * Creates the stage of one connection.
   *
   * @param memory counts the connection
   * @param requestOpen tells whether a request of the connection awaits its response
   * @param maxHeadBytes the longest request head
   * @param lingerTimeout how long the socket stays open for a caller that does not close it after
   *     its last response
   * @param time the clock
   */
  CallerSocketStage(
      CallerMemory memory,
      BooleanSupplier requestOpen,
      int maxHeadBytes,
      Duration lingerTimeout,
      TimeSource time) {
    this.memory = memory;
    this.requestOpen = requestOpen;
    this.maxHeadBytes = maxHeadBytes;
    this.lingerTimeout = lingerTimeout;
    this.time = time;
  }

  @Override
  public BidiShape<ByteString, ByteString, ByteString, ByteString> shape() {
    return shape;
  }

  @Override
  public TimerGraphStageLogic createLogic(Attributes inheritedAttributes) {
    return new Logic();
  }

  private final class Logic extends TimerGraphStageLogic {
    private final RequestFramer framer = new RequestFramer(maxHeadBytes);
    private Optional<CallerMemory.Connection> connection = Optional.empty();

    Logic() {
      super(shape);
      setHandler(requestsIn, new RequestsIn());
      setHandler(requestsOut, new RequestsOut());
      setHandler(responsesIn, new ResponsesIn());
      setHandler(responsesOut, new ResponsesOut());
    }

    @Override
    public void preStart() {
      AsyncCallback<Boolean> close = createAsyncCallback(this::close);
      connection = memory.open(requestOpen, close::invoke, time.now());
      if (connection.isEmpty()) {
        failStage(new ClosedException());
      }
    }

    private void close(boolean discard) {
      if (discard) {
        failStage(new ClosedException());
      } else {
        completeStage();
      }
    }

    @Override
    public void postStop() {
      connection.ifPresent(CallerMemory.Connection::closed);
    }

    @Override
    public void onTimer(Object key) {
      cancel(requestsIn);
    }

    /** Passes on what has arrived, and reads from the socket only if that is nothing. */
    private void passOn() {
      try {
        Optional<ByteString> next = framer.poll();
        connection.ifPresent(
            c -> c.received(framer.isInsideRequest(), framer.heldBytes(), time.now()));
        if (next.isPresent()) {
          awaitsRest(false);
          push(requestsOut, next.get());
        } else if (!hasBeenPulled(requestsIn) && !isClosed(requestsIn)) {
          awaitsRest(framer.isInsideRequest());
          pull(requestsIn);
        } else if (isClosed(requestsIn)) {
          complete(requestsOut);
        }
      } catch (RequestFramer.InvalidRequestException e) {
        connection.ifPresent(c -> c.invalid(time.now()));
        failStage(e);
      }
    }

    private void awaitsRest(boolean waits) {
      connection.ifPresent(c -> c.awaitsRest(waits, time.now()));
    }

    private final class RequestsIn extends AbstractInHandler {
      @Override
      public void onPush() {
        ByteString bytes = grab(requestsIn);
        // After its last request, a connection lingers, and what still arrives is dropped.
        if (!isClosed(requestsOut)) {
          framer.add(bytes);
          passOn();
        }
      }

      @Override
      public void onUpstreamFinish() {
        if (framer.unreadBytes() == 0) {
          complete(requestsOut);
        }
      }

      @Override
      public void onUpstreamFailure(Throwable failure) {
        fail(requestsOut, failure);
      }
    }

    private final class RequestsOut extends AbstractOutHandler {
      @Override
      public void onPull() {
        passOn();
      }

      @Override
      public void onDownstreamFinish(Throwable cause) {
        scheduleOnce(LINGER, lingerTimeout);
      }
    }

    private final class ResponsesIn extends AbstractInHandler {
      @Override
      public void onPush() {
        ByteString bytes = grab(responsesIn);
        connection.ifPresent(c -> c.unread(bytes.size(), time.now()));
        push(responsesOut, bytes);
      }

      @Override
      public void onUpstreamFinish() {
        complete(responsesOut);
      }

      @Override
      public void onUpstreamFailure(Throwable failure) {
        fail(responsesOut, failure);
      }
    }

    private final class ResponsesOut extends AbstractOutHandler {
      @Override
      public void onPull() {
        connection.ifPresent(c -> c.unread(0, time.now()));
        pull(responsesIn);
      }

      @Override
      public void onDownstreamFinish(Throwable cause) {
        cancel(responsesIn, cause);
      }
    }
  }
}
