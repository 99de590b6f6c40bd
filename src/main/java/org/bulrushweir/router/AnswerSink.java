package org.bulrushweir.router;

import java.io.IOException;
import org.bulrushweir.delivery.RequestAction;

/** Receives the parts of an answer and passes them on to the caller. */
interface AnswerSink {

  /**
   * Passes a part on.
   *
   * @param emit the part with the endpoint, attempt and sequence number that it came from
   * @throws IOException if the caller has closed its connection
   */
  void accept(RequestAction.Emit emit) throws IOException;
}
