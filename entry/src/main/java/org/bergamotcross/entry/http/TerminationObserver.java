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
 * Passes bytes through and reports how the stream ended.
 *
 * <p>Pekko's {@code watchTermination} reports a cancelled stream as completed, so a response that
 * the caller stopped reading would look complete.
 */
final class TerminationObserver extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** Receives the start and the end of a stream; called on Pekko threads. */
  interface Listener {
    /** The stream was materialized and is being read. */
    default void onStart() {}

    /** The source emitted all its bytes. */
    void onComplete();

    /**
     * The source failed.
     *
     * @param cause the failure
     */
    void onFailure(Throwable cause);

    /** The consumer cancelled the stream before its end. */
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
