package org.bergamotcross.entry.http;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Passes bytes through and tells how the stream ended.
 *
 * <p>Pekko's {@code watchTermination} reports a cancelled stream as a completed one, which would
 * make a response that the caller stopped reading look whole.
 */
final class TerminationObserver extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** How a stream ended; called on a thread of Pekko. */
  interface Listener {
    /** Somebody started to read the stream. */
    default void onStart() {}

    /** The source gave all its bytes. */
    void onComplete();

    /**
     * The source failed.
     *
     * @param cause why
     */
    void onFailure(Throwable cause);

    /** The reader stopped reading before the end. */
    void onCancel();
  }

  private final Inlet<ByteString> in = Inlet.create("EndWatch.in");
  private final Outlet<ByteString> out = Outlet.create("EndWatch.out");
  private final FlowShape<ByteString, ByteString> shape = FlowShape.of(in, out);
  private final Listener listener;

  TerminationObserver(Listener listener) {
    this.listener = listener;
  }

  @Override
  public FlowShape<ByteString, ByteString> shape() {
    return shape;
  }

  @Override
  public GraphStageLogic createLogic(Attributes attributes) {
    listener.onStart();
    return new Logic();
  }

  private final class Logic extends GraphStageLogic {
    Logic() {
      super(shape);
      setHandler(in, new Input());
      setHandler(out, new Output());
    }

    private final class Input extends AbstractInHandler {
      @Override
      public void onPush() {
        push(out, grab(in));
      }

      @Override
      public void onUpstreamFinish() {
        listener.onComplete();
        complete(out);
      }

      @Override
      public void onUpstreamFailure(Throwable cause) {
        listener.onFailure(cause);
        fail(out, cause);
      }
    }

    private final class Output extends AbstractOutHandler {
      @Override
      public void onPull() {
        pull(in);
      }

      @Override
      public void onDownstreamFinish(Throwable cause) {
        listener.onCancel();
        cancel(in, cause);
      }
    }
  }
}
