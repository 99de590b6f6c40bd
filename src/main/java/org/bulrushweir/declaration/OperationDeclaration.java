package org.bulrushweir.declaration;

/**
 * Describes an operation of a plain service.
 *
 * @param name the operation's name
 * @param method the HTTP method
 * @param pathPrefix the start of the HTTP path
 * @param idempotent whether running it twice does no harm
 */
public record OperationDeclaration(
    String name, String method, String pathPrefix, boolean idempotent) {

  /**
   * Tells whether a call is a call of this operation.
   *
   * @param callMethod the call's HTTP method
   * @param callPath the call's HTTP path
   * @return true if both match
   */
  public boolean matches(final String callMethod, final String callPath) {
    if (!method.equalsIgnoreCase(callMethod) || !callPath.startsWith(pathPrefix)) {
      return false;
    }
    return callPath.length() == pathPrefix.length()
        || pathPrefix.endsWith("/")
        || callPath.charAt(pathPrefix.length()) == '/';
  }
}
