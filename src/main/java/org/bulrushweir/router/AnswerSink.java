package org.bulrushweir.router;

import java.io.IOException;
import org.bulrushweir.delivery.RequestAction;

/** Takes the parts of an answer on their way to the caller. */
interface AnswerSink {

  /**
   * Takes a part.
   *
   * @param emit the part and where it came from
   * @throws IOException if the caller has gone away
   */
  void part(RequestAction.Emit emit) throws IOException;
}
