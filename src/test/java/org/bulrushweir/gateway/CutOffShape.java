package org.bulrushweir.gateway;

import java.util.List;
import java.util.Set;
import org.bulrushweir.gateway.CutOffAnswer.End;
import org.bulrushweir.gateway.CutOffAnswer.Trait;
import org.bulrushweir.relay.ResponseFraming;

/**
 * What an answer that is cut off says, whatever its framing.
 *
 * @param status the status
 * @param traits in what it differs from a usual answer
 */
record CutOffShape(int status, Set<Trait> traits) {

  /** The shapes that tests use. */
  static final List<CutOffShape> ALL =
      List.of(
          new CutOffShape(200, Set.of()),
          new CutOffShape(204, Set.of()),
          new CutOffShape(206, Set.of()),
          new CutOffShape(304, Set.of()),
          new CutOffShape(404, Set.of()),
          new CutOffShape(500, Set.of()),
          new CutOffShape(503, Set.of()),
          new CutOffShape(503, Set.of(Trait.NOT_RUN)),
          new CutOffShape(200, Set.of(Trait.AFTER_CONTINUE)),
          new CutOffShape(200, Set.of(Trait.UNNAMED)),
          new CutOffShape(200, Set.of(Trait.UNSEALED)),
          new CutOffShape(200, Set.of(Trait.ENCODED)),
          new CutOffShape(404, Set.of(Trait.UNSEALED)));

  private static final int OK = 200;
  private static final String BODY = "the body";

  /** Returns the framings to test; that of an answer without proof of its origin is immaterial. */
  List<ResponseFraming> framings() {
    return traits.isEmpty() || traits.contains(Trait.NOT_RUN)
        ? List.of(ResponseFraming.values())
        : List.of(ResponseFraming.LENGTH);
  }

  /**
   * Returns the ends of connections to test. Where the codec takes the end of a connection for that
   * of a body, or the head proves something, each of them matters.
   */
  List<End> ends() {
    return status == OK && traits.isEmpty() || traits.contains(Trait.NOT_RUN)
        ? List.of(End.CLOSED, End.RESET, End.SILENT)
        : List.of(End.CLOSED);
  }

  /** Returns the answer of this shape to a request. */
  CutOffAnswer answer(final CutOffCall call, final ResponseFraming framing) {
    final long after = call == CutOffCall.RESUMED ? 1 : call.lastEvent();
    return CutOffAnswer.of(
        status,
        "seal-of-cut-answer",
        framing,
        traits,
        call.isStream() && CutOffAnswer.isSuccess(status) ? CutOffCall.events(after) : BODY,
        call.isToHead());
  }
}
