package org.bulrushweir.declaration;

/**
 * Describes an operation of a plain service, a set of calls with the same method and path prefix.
 *
 * @param name the name of the operation
 * @param method the HTTP method
 * @param pathPrefix the prefix of the HTTP path; matches whole path segments
 * @param idempotent whether running a call twice does no harm
 */
public record OperationDeclaration(
    String name, String method, String pathPrefix, boolean idempotent) {

  /**
   * Returns whether a call belongs to this operation.
   *
   * @param callMethod the HTTP method of the call
   * @param callPath the HTTP path of the call, without its query
   * @return true if the method and the path prefix match
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
