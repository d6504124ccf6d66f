package org.bergamotcross.entry.framing;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a verdict that depends on how a response is divided into reads. */
class ResponseValidatorTest {
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String BODY = "0123456789";
  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

  private static void check(ResponseValidator validator, String text)
      throws InvalidResponseException {
    validator.check(ByteString.fromArray(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  private static void checkSplitAt(int split, String response) throws InvalidResponseException {
    ResponseValidator validator = new ResponseValidator();
    check(validator, response.substring(0, split));
    check(validator, response.substring(split));
  }

  private static void checkByteByByte(ResponseValidator validator, String response)
      throws InvalidResponseException {
    for (int i = 0; i < response.length(); i++) {
      check(validator, response.substring(i, i + 1));
    }
  }

  @Nested
  class Valid {
    @ParameterizedTest
    @ValueSource(
        strings = {
          OK + "Content-Length: 10\r\n\r\n" + BODY,
          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + OK + "Content-Length: 0\r\n\r\n",
          CHUNKED + "5;a=b\r\n01234\r\n5\r\n56789\r\n0\r\nX-Trailer: a\r\n\r\n",
          OK + "Connection: Keep-Alive, Close\r\n\r\n" + BODY,
          "HTTP/1.0 200 OK\r\n\r\n" + BODY
        })
    void isAcceptedInAnyParts(String response) throws Exception {
      for (int split = 0; split <= response.length(); split++) {
        checkSplitAt(split, response);
      }
      checkByteByByte(new ResponseValidator(), response);
    }
  }

  @Nested
  class Invalid {
    @ParameterizedTest
    @ValueSource(
        strings = {
          OK + "Content-Length: 1 0\r\n\r\n",
          OK + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
          OK + "Transfer-Encoding: chunk ed\r\n\r\n",
          OK + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
          OK + ": value\r\n",
          OK + "X-Field: a\r\n folded\r\n",
          OK + "X-Field: caf\u00e9\r\n",
          "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
          OK + "X-Field: a\r\n\r\n",
          "\r\n" + OK,
          CHUNKED + "5\r\n01234\r\n \r\n",
          CHUNKED + "5\r\n012345\r\n"
        })
    void isRejectedInAnyParts(String response) {
      for (int split = 0; split <= response.length(); split++) {
        int at = split;
        assertThrows(InvalidResponseException.class, () -> checkSplitAt(at, response));
      }
      assertThrows(
          InvalidResponseException.class, () -> checkByteByByte(new ResponseValidator(), response));
    }

    // Guards against a line that is held without a bound.
    @Test
    void isALineWithoutAnEnd() {
      for (String start : List.of("", OK + "X-Field: ", CHUNKED, CHUNKED + "5;")) {
        ResponseValidator validator = new ResponseValidator();
        assertThrows(
            InvalidResponseException.class, () -> check(validator, start + "0".repeat(20_000)));
      }
    }
  }

  @Nested
  class Sequence {
    @Test
    void beginsANewResponseWithTheNextRead() throws Exception {
      ResponseValidator validator = new ResponseValidator();
      checkByteByByte(validator, OK + "Content-Length: 10\r\n\r\n" + BODY);
      checkByteByByte(validator, CHUNKED + "5\r\n01234\r\n0\r\n\r\n");
      checkByteByByte(validator, "HTTP/1.1 204 No Content\r\n\r\n");
      checkByteByByte(validator, "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n");
      assertThrows(InvalidResponseException.class, () -> check(validator, BODY + "\r\n"));
    }

    // Guards against a complete response that is lost because of bytes behind it.
    @Test
    void ignoresBytesBehindAResponseInTheSameRead() throws Exception {
      ResponseValidator validator = new ResponseValidator();
      check(validator, OK + "Content-Length: 10\r\n\r\n" + BODY + "more\r\nbytes\r\n\r\n");
      check(validator, OK + "Content-Length: 10\r\n\r\n" + BODY);
    }

    @Test
    void expectsNoBodyInTheResponseToAHeadRequest() throws Exception {
      ResponseValidator validator = new ResponseValidator();
      validator.expectBody(false);
      check(validator, OK + "Content-Length: 10\r\n\r\n");
      check(validator, CHUNKED);
      check(validator, OK + "\r\n");
      validator.expectBody(true);
      check(validator, OK + "Content-Length: 10\r\n\r\n" + BODY);
    }
  }
}
