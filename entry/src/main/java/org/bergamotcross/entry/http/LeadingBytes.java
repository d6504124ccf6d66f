package org.bergamotcross.entry.http;

import java.io.ByteArrayOutputStream;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Collects the start of a body into its first element and passes the rest on as it arrives.
 *
 * <p>The first element holds the whole body if that is at most as long as the limit and arrives in
 * few parts. Otherwise it holds the start. The bytes are copied into one array, because a body that
 * arrives in chunks of one byte would otherwise occupy a hundred times its size.
 */
final class LeadingBytes extends GraphStage<FlowShape<ByteString, LeadingBytes.Part>> {
  /**
   * A part of a body.
   *
   * @param bytes the bytes
   * @param isWholeBody whether these are all bytes of the body
   */
  record Part(ByteString bytes, boolean isWholeBody) {}

  /**
   * A body in more elements than this is not collected, because each one costs processor time that
   * other requests need.
   */
  private static final int MAX_ELEMENTS = 2_048;

  private final int limit;
  private final Inlet<ByteString> in = Inlet.create("LeadingBytes.in");
  private final Outlet<Part> out = Outlet.create("LeadingBytes.out");
  private final FlowShape<ByteString, Part> shape = FlowShape.of(in, out);

  /**
   * Creates the stage.
   *
   * @param limit the largest body that is collected in full, in bytes
   */
  LeadingBytes(int limit) {
    this.limit = limit;
  }

  @Override
  public FlowShape<ByteString, Part> shape() {
    return shape;
  }

  @Override
  public GraphStageLogic createLogic(Attributes inheritedAttributes) {
    return new Logic();
  }

  private final class Logic extends GraphStageLogic {
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
    private boolean isCollecting = true;
    private int elements;

    Logic() {
      super(shape);
      setHandlers(
          in,
          out,
          new AbstractInOutHandler() {
            @Override
            public void onPush() {
              handle(grab(in));
            }

            @Override
            public void onPull() {
              pull(in);
            }

            @Override
            public void onUpstreamFinish() {
              if (isCollecting) {
                emit(out, new Part(takeCollected(), true));
              }
              complete(out);
            }
          });
    }

    private void handle(ByteString bytes) {
      if (!isCollecting) {
        push(out, new Part(bytes, false));
        return;
      }
      collected.writeBytes(bytes.toArray());
      elements++;
      if (collected.size() > limit || elements > MAX_ELEMENTS) {
        isCollecting = false;
        push(out, new Part(takeCollected(), false));
      } else {
        pull(in);
      }
    }

    private ByteString takeCollected() {
      ByteString bytes = ByteString.fromArray(collected.toByteArray());
      collected.reset();
      return bytes;
    }
  }
}
