package org.bergamotcross.standin;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;

/** Reads the bodies of requests. */
final class RequestBodies {
  private RequestBodies() {}

  /** Reads a body of modest size. */
  static CompletionStage<ByteString> readAll(HttpRequest request, StandinRuntime runtime) {
    return request
        .entity()
        .withoutSizeLimit()
        .getDataBytes()
        .runWith(Sink.fold(ByteString.emptyByteString(), ByteString::concat), runtime.system());
  }

  /** Consumes a body and counts its bytes without holding them. */
  static CompletionStage<Long> countBytes(HttpRequest request, StandinRuntime runtime) {
    return request
        .entity()
        .withoutSizeLimit()
        .getDataBytes()
        .runWith(Sink.fold(0L, (sum, bytes) -> sum + bytes.size()), runtime.system());
  }
}
