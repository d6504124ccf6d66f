package org.bergamotcross.systemtest;

/**
 * What a caller got.
 *
 * @param status the HTTP status, 0 when the connection broke
 * @param refusal the refusal code, empty for none
 * @param outcome the outcome of a refusal, empty for none
 * @param body the body
 */
record Reply(int status, String refusal, String outcome, String body) {
  static final Reply BROKEN = new Reply(0, "", "", "");

  boolean isAnswered() {
    return status == 200;
  }
}
