package org.bergamotcross.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Builds JSON responses of the stand-ins. */
final class JsonResponses {
  static final ObjectMapper JSON = new ObjectMapper();

  private JsonResponses() {}

  static HttpResponse json(int status, JsonNode body) {
    return HttpResponse.create()
        .withStatus(status)
        .withEntity(ContentTypes.APPLICATION_JSON, body.toString());
  }

  static HttpResponse problems(int status, List<String> problems) {
    var body = JSON.createObjectNode();
    problems.forEach(body.putArray("problems")::add);
    return json(status, body);
  }

  static HttpResponse ok() {
    return json(200, JSON.createObjectNode().put("result", "done"));
  }

  static Optional<String> header(HttpRequest request, String name) {
    return request.getHeader(name).map(HttpHeader::value);
  }
}
