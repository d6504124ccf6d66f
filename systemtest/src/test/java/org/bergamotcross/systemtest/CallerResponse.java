package org.bergamotcross.systemtest;

/**
 * The response that a caller received from an instance.
 *
 * @param status the HTTP status, 0 when the request failed without a response
 * @param refusalCode the refusal code, empty if the request was not refused
 * @param outcome the execution outcome of a refusal, empty if the request was not refused
 * @param body the response body
 */
record CallerResponse(int status, String refusalCode, String outcome, String body) {
  static final CallerResponse CONNECTION_FAILED = new CallerResponse(0, "", "", "");

  boolean isOk() {
    return status == 200;
  }
}
