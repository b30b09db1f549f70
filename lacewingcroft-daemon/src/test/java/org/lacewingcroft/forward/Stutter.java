package org.lacewingcroft.forward;

import org.lacewingcroft.forward.StutteringEndpoint.Moment;
import org.lacewingcroft.forward.StutteringEndpoint.Script;

/**
 * What a {@link StutteringEndpoint} does with pairs of requests: after its response to the first
 * one, it repeats a part of that response. The repeated bytes belong to no request.
 */
public interface Stutter {
  /** Returns the unique name of the service of the endpoint. */
  String name();

  /** Returns the region of the endpoint. */
  String region();

  /** Returns when the repeated part is written. */
  Moment moment();

  /** Returns the response to the request with an id. */
  RawResponse responseTo(String id);

  /** Returns the repeated part, empty after the response to a second request. */
  String strayBytesAfter(String id);

  /**
   * Returns whether the stray bytes of a pair may cost the second request, which was sent before
   * them.
   */
  default boolean mayCostNextRequest(int pair) {
    return moment() == Moment.AFTER_NEXT_REQUEST;
  }

  /** Returns the id of the first or the second request of a pair. */
  default String id(int pair, boolean first) {
    return String.format("%s-%03d-%s", name(), pair, first ? "a" : "b");
  }

  /** Returns the number of the pair of the request with an id. */
  default int pairOf(String id) {
    return Integer.parseInt(id.substring(name().length() + 1, id.lastIndexOf('-')));
  }

  /** Returns whether an id is that of the first request of a pair. */
  default boolean isFirst(String id) {
    return id.endsWith("-a");
  }

  /**
   * Returns the rest of the repeated response, which follows the response to the second request.
   */
  default String strayRestAfter(String id) {
    return "";
  }

  /** Returns the script of the endpoint. */
  default Script script() {
    return StutteringEndpoint.answeringWithStrayBytes(
        moment(), id -> responseTo(id).bytes(), this::strayBytesAfter, this::strayRestAfter);
  }
}
