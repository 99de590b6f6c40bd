package org.bulrushweir.soak;

import java.io.IOException;

/** Says that bytes are no message of the protocol. */
final class MalformedMessageException extends IOException {

  private static final long serialVersionUID = 1;

  MalformedMessageException(final String message) {
    super(message);
  }
}
