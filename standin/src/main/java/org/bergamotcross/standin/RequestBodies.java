package org.bergamotcross.standin;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;

/** Reads request bodies. */
final class RequestBodies {
  private RequestBodies() {}

  /** Reads a whole body into memory, without a size limit. */
  static CompletionStage<ByteString> readAll(HttpRequest request, StandinRuntime runtime) {
    return request
        .entity()
        .withoutSizeLimit()
        .getDataBytes()
        .runWith(Sink.fold(ByteString.emptyByteString(), ByteString::concat), runtime.system());
  }

  /** Discards a body and returns its length in bytes. */
  static CompletionStage<Long> countBytes(HttpRequest request, StandinRuntime runtime) {
    return request
        .entity()
        .withoutSizeLimit()
        .getDataBytes()
        .runWith(Sink.fold(0L, (sum, bytes) -> sum + bytes.size()), runtime.system());
  }
}
