package org.bulrushweir.demo;

/**
 * Describes a request of a caller.
 *
 * @param requestId its id
 * @param host the host that it names
 * @param path its path
 * @param key the caller's key
 * @param promptParts the parts of its prompt as they are written, empty for a call
 * @param body its body, empty for a request without one
 */
public record DemoCall(
    String requestId, String host, String path, String key, String promptParts, String body) {

  /** The host of the example configuration's chats. */
  public static final String CHAT_HOST = "chat.example";

  /** The host of the example configuration's orders. */
  public static final String ORDER_HOST = "orders.example";

  /** A key of the example configuration. */
  public static final String KEY = "key-of-dispatch";

  /**
   * Describes a chat whose stream may be resumed.
   *
   * @param requestId the request's id
   * @param chat the number of the chat, which its turns share
   * @return the request
   */
  public static DemoCall draft(final String requestId, final int chat) {
    return new DemoCall(
        requestId, CHAT_HOST, "/draft/1", KEY, prompt(chat, requestId), "a draft, please");
  }

  /**
   * Describes a chat whose stream may not be resumed.
   *
   * @param requestId the request's id
   * @param chat the number of the chat, which its turns share
   * @return the request
   */
  public static DemoCall review(final String requestId, final int chat) {
    return new DemoCall(
        requestId, CHAT_HOST, "/review/1", KEY, prompt(chat, requestId), "a review, please");
  }

  private static String prompt(final int chat, final String requestId) {
    return "1:340,"
        + Integer.toHexString(chat + 16)
        + ":1700,"
        + Integer.toHexString(requestId.hashCode())
        + ":360";
  }

  /**
   * Describes a booking, which must not run twice.
   *
   * @param requestId the request's id
   * @return the request
   */
  public static DemoCall booking(final String requestId) {
    return new DemoCall(requestId, ORDER_HOST, "/book/1", KEY, "", "two pallets");
  }

  /**
   * Describes a lookup, which may be repeated.
   *
   * @param requestId the request's id
   * @return the request
   */
  public static DemoCall lookup(final String requestId) {
    return new DemoCall(requestId, ORDER_HOST, "/look/1?item=7", KEY, "", "");
  }
}
