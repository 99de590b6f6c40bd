package org.bulrushweir.soak;

/**
 * A request as a caller sent it.
 *
 * @param id its id
 * @param traffic its kind
 * @param route the name of its route
 * @param key the key that it is sent with
 * @param body its body
 * @param gateway the gateway that it was sent to
 * @param boot the process of that gateway, counted from one
 * @param sentAtMs when it was sent
 */
record CallerRequest(
    String id,
    Traffic traffic,
    String route,
    String key,
    String body,
    String gateway,
    int boot,
    long sentAtMs) {

  /** The number of events of a stream with this id. */
  private static final int MOST_EVENTS = 10;

  String path() {
    return "/" + route + "/" + id;
  }

  int events() {
    return 2 + Math.floorMod(id.hashCode(), MOST_EVENTS);
  }

  @Override
  public String toString() {
    return traffic + " " + path() + " to " + gateway + "#" + boot + " at " + sentAtMs + " ms";
  }
}
