package org.bergamotcross.entry.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests whose end is found at another place than their parser finds it. */
class RequestFramerTest {
  private static final int MAX_HEAD_BYTES = 200;
  private static final String CHUNKED = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final RequestFramer framer = new RequestFramer(MAX_HEAD_BYTES);

  private List<String> read(String bytes) throws Exception {
    framer.add(ByteString.fromArray(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    List<String> parts = new ArrayList<>();
    for (Optional<ByteString> next = framer.poll(); next.isPresent(); next = framer.poll()) {
      parts.add(next.get().decodeString(StandardCharsets.ISO_8859_1));
    }
    return parts;
  }

  @Nested
  class Heads {
    @Test
    void arePassedOnAsAWhole() throws Exception {
      String head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
      for (char letter : head.substring(0, head.length() - 1).toCharArray()) {
        assertThat(read(String.valueOf(letter))).isEmpty();
      }
      assertThat(framer.heldBytes()).isEqualTo(head.length() - 1);
      assertThat(framer.isInsideRequest()).isTrue();
      assertThat(read("\n")).containsExactly(head);
      assertThat(framer.heldBytes()).isEqualTo(0);
      assertThat(framer.isInsideRequest()).isFalse();
    }

    @Test
    void sentAheadArePassedOnOneByOne() throws Exception {
      String head = "GET / HTTP/1.1\r\n\r\n";
      assertThat(read(head + head)).containsExactly(head, head).inOrder();
    }

    @Test
    void withoutAnEndAreRefused() {
      assertThrows(
          RequestFramer.InvalidRequestException.class,
          () -> read("GET / HTTP/1.1\r\nA: " + "x".repeat(MAX_HEAD_BYTES)));
    }
  }

  @Nested
  class BodiesWithALength {
    @Test
    void stayWithTheirHead() throws Exception {
      String request = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
      assertThat(read(request + request)).containsExactly(request, request).inOrder();
    }

    @Test
    void arePassedOnAsTheyArrive() throws Exception {
      String head = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
      assertThat(read(head + "ab")).containsExactly(head + "ab");
      assertThat(framer.isInsideRequest()).isTrue();
      assertThat(read("c")).containsExactly("c");
      assertThat(read("dGET")).containsExactly("d");
      assertThat(framer.heldBytes()).isEqualTo(3);
    }
  }

  @Nested
  class ChunkedBodies {
    @Test
    void inSmallChunksBecomeOneChunkForEachRead() throws Exception {
      assertThat(read(CHUNKED + "1\r\na\r\n1;x=y\r\nb\r\n01\r\nc\r\n"))
          .containsExactly(CHUNKED + "3\r\nabc\r\n");
    }

    @Test
    void inALargeChunkArePassedOnAsTheyArrive() throws Exception {
      assertThat(read(CHUNKED + "F00000\r\nab")).containsExactly(CHUNKED + "2\r\nab\r\n");
      assertThat(read("cde")).containsExactly("3\r\ncde\r\n");
      assertThat(framer.heldBytes()).isEqualTo(0);
    }

    @Test
    void endWithoutTheirTrailers() throws Exception {
      assertThat(read(CHUNKED + "2\r\nab\r\n0\r\nX: y\r\n\r\nGET")).hasSize(1);
      assertThat(framer.heldBytes()).isEqualTo(3);
    }

    @Test
    void cutAnywhereHaveTheSameContent() throws Exception {
      StringBuilder passedOn = new StringBuilder();
      for (char letter : (CHUNKED + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n").toCharArray()) {
        read(String.valueOf(letter)).forEach(passedOn::append);
      }
      assertThat(passedOn.toString())
          .isEqualTo(CHUNKED + "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n");
      assertThat(framer.isInsideRequest()).isFalse();
    }

    @Test
    void withASizeThatIsNoneAreRefused() {
      for (String size : List.of("g", "", "-1", "0x1", "1 1", "1".repeat(16), "0".repeat(400))) {
        RequestFramer fresh = new RequestFramer(MAX_HEAD_BYTES);
        fresh.add(ByteString.fromString(CHUNKED + size + "\r\n"));
        assertThrows(RequestFramer.InvalidRequestException.class, fresh::poll);
      }
    }

    @Test
    void withMoreThanTheirSizeAreRefused() {
      assertThrows(
          RequestFramer.InvalidRequestException.class, () -> read(CHUNKED + "1\r\nab\r\n"));
    }
  }

  @Nested
  class UncertainHeads {
    // Guards against a request that is hidden in the body of another one.
    @Test
    void haveNothingPassedOnBehindThem() throws Exception {
      for (String headers :
          List.of(
              "Content-Length: 3\r\nTransfer-Encoding: chunked",
              "Content-Length: 3\r\nContent-Length: 4",
              "Content-Length: +3",
              "Content-Length : 3",
              "Transfer-Encoding : chunked",
              "Transfer-Encoding: gzip, chunked",
              "Transfer-Encoding:\r\n chunked",
              "X: a\rTransfer-Encoding: chunked")) {
        RequestFramer fresh = new RequestFramer(MAX_HEAD_BYTES);
        String head = "POST / HTTP/1.1\r\n" + headers + "\r\n\r\n";
        fresh.add(ByteString.fromString(head + "GET / HTTP/1.1\r\n\r\n"));
        assertThat(fresh.poll().orElseThrow().utf8String()).isEqualTo(head);
        assertThat(fresh.poll()).isEmpty();
        assertThat(fresh.isInsideRequest()).isTrue();
      }
    }
  }
}
