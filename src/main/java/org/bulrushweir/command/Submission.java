package org.bulrushweir.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.configuration.ConfigHead;
import org.bulrushweir.configuration.ConfigMachine;
import org.bulrushweir.configuration.SubmitResult;
import org.bulrushweir.declaration.Declaration;
import org.bulrushweir.declaration.DeclarationLoader;
import org.bulrushweir.platform.CommitResult;
import org.bulrushweir.platform.PlatformException;
import org.bulrushweir.platform.PlatformStore;
import org.bulrushweir.platform.Row;
import org.bulrushweir.platform.Transaction;

/** Gets a text accepted: stores it, then moves the head row, reading back lost answers. */
final class Submission {

  private static final int READ_BACK_ATTEMPTS = 10;
  private static final long READ_BACK_INTERVAL_MS = 500;

  private final ObjectMapper mapper = new ObjectMapper();
  private final PlatformStore store;

  /**
   * Creates a submission.
   *
   * @param store the platform's store
   */
  Submission(final PlatformStore store) {
    this.store = store;
  }

  /**
   * Submits a text.
   *
   * @param source the name of the file
   * @param text the text
   * @param baseOption the number it was edited from, null to take it from the text
   * @return what became of it
   */
  SubmitResult submit(final String source, final String text, final Long baseOption) {
    final Declaration declaration = DeclarationLoader.load(source, text);
    final Row row;
    final ConfigHead current;
    try {
      row = store.read(ConfigHead.ROW_KEY).join();
      current = head(row);
    } catch (CompletionException e) {
      return new SubmitResult.Unavailable(e.getCause().getMessage());
    }
    final long base = baseOption == null ? declaration.base().orElse(current.number()) : baseOption;
    if (base != current.number()) {
      return new SubmitResult.Conflict(
          "the text was edited from configuration "
              + base
              + ", but configuration "
              + current.number()
              + " is in force");
    }
    return commit(row, next(current, text), text);
  }

  private static ConfigHead next(final ConfigHead current, final String text) {
    return new ConfigHead(
        current.number() + 1, ConfigMachine.digest(text), UUID.randomUUID().toString());
  }

  private SubmitResult commit(final Row row, final ConfigHead next, final String text) {
    try {
      store.putObject(next.objectKey(), text).join();
    } catch (CompletionException e) {
      return new SubmitResult.Unavailable(e.getCause().getMessage());
    }
    try {
      return settle(store.commit(Transaction.replace(row, json(next))).join(), next);
    } catch (CompletionException e) {
      final PlatformException failure = (PlatformException) e.getCause();
      if (!failure.effectPossible()) {
        return new SubmitResult.Unavailable(failure.getMessage());
      }
      return readBack(row, next);
    }
  }

  private SubmitResult settle(final CommitResult result, final ConfigHead next) {
    return switch (result) {
      case CommitResult.Committed committed ->
          new SubmitResult.Accepted(new ConfigNumber(next.number()));
      case CommitResult.Conflict conflict -> compare(head(conflict.current()), next);
    };
  }

  private static SubmitResult compare(final ConfigHead current, final ConfigHead next) {
    if (current.nonce().equals(next.nonce())) {
      return new SubmitResult.Accepted(new ConfigNumber(next.number()));
    }
    return new SubmitResult.Conflict(
        "another text was accepted first as configuration " + current.number());
  }

  /** Commits again after a lost answer; the nonce tells whether the first commit took effect. */
  private SubmitResult readBack(final Row row, final ConfigHead next) {
    for (int attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
      try {
        Thread.sleep(READ_BACK_INTERVAL_MS);
        return settle(store.commit(Transaction.replace(row, json(next))).join(), next);
      } catch (CompletionException e) {
        // The platform still does not answer; try again.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    return new SubmitResult.Unknown("the platform's answer was lost");
  }

  private ConfigHead head(final Row row) {
    if (!row.exists()) {
      return new ConfigHead(0, "", "");
    }
    try {
      return mapper.readValue(row.value(), ConfigHead.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the head row is malformed", e);
    }
  }

  private String json(final ConfigHead head) {
    try {
      return mapper.writeValueAsString(head);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a head row can't be written", e);
    }
  }
}
