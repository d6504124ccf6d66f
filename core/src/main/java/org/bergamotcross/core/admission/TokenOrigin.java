package org.bergamotcross.core.admission;

import org.bergamotcross.core.membership.InstanceId;

/** The source of the token that admitted a request. */
public sealed interface TokenOrigin {

  /** No token was needed, because the organisation has no rate limit. */
  record Unlimited() implements TokenOrigin {}

  /** The token was borrowed from one or more holders. */
  record Borrowed() implements TokenOrigin {}

  /**
   * The token was taken from the bucket of one instance.
   *
   * @param instance the instance, possibly the admitting one
   */
  record Bucket(InstanceId instance) implements TokenOrigin {}

  /**
   * Returns the origin as written to the log.
   *
   * @return the instance id for a bucket, otherwise the kind of the origin
   */
  default String label() {
    return switch (this) {
      case Unlimited ignored -> "unlimited";
      case Borrowed ignored -> "borrowed";
      case Bucket bucket -> bucket.instance().value();
    };
  }
}
