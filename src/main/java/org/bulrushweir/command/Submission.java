package org.bulrushweir.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.bulrushweir.configuration.ConfigDifference;
import org.bulrushweir.configuration.ConfigHead;
import org.bulrushweir.configuration.ConfigMachine;
import org.bulrushweir.configuration.SubmitAction;
import org.bulrushweir.configuration.SubmitEvent;
import org.bulrushweir.configuration.SubmitMachine;
import org.bulrushweir.configuration.SubmitResult;
import org.bulrushweir.store.CommitResult;
import org.bulrushweir.store.Condition;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.store.Row;
import org.bulrushweir.store.Transaction;
import org.bulrushweir.store.Write;

/** Carries out what the machine of a submission decides. */
final class Submission {

  /** Reads and writes rows as JSON. */
  private final ObjectMapper mapper = new ObjectMapper();

  /** The platform's store. */
  private final PlatformStore store;

  /** The text. */
  private final String text;

  /** Decides what to do. */
  private final SubmitMachine machine;

  /**
   * Creates a submission.
   *
   * @param store the platform's store
   * @param text the text, checked already
   * @param base the number that the text was edited from, empty if it is the first text
   */
  Submission(final PlatformStore store, final String text, final OptionalLong base) {
    this.store = store;
    this.text = text;
    this.machine =
        new SubmitMachine(ConfigMachine.digest(text), UUID.randomUUID().toString(), base);
  }

  /**
   * Submits the text.
   *
   * @return what became of it
   * @throws InterruptedException if the thread is interrupted
   */
  SubmitResult run() throws InterruptedException {
    SubmitAction action = machine.start();
    while (!(action instanceof SubmitAction.Finish)) {
      if (action instanceof SubmitAction.WaitThen wait) {
        Thread.sleep(wait.delayMs());
        action = wait.next();
      } else {
        action = machine.on(carryOut(action));
      }
    }
    return ((SubmitAction.Finish) action).result();
  }

  private SubmitEvent carryOut(final SubmitAction action) {
    try {
      return switch (action) {
        case SubmitAction.ReadHead read -> {
          final Row row = store.read(ConfigHead.ROW_KEY).join();
          yield new SubmitEvent.HeadRead(head(row), row.version());
        }
        case SubmitAction.StoreText storing -> {
          store.putObject(storing.head().objectKey(), text).join();
          yield new SubmitEvent.TextStored();
        }
        case SubmitAction.Commit commit -> commit(commit);
        default -> throw new IllegalStateException("not an action to carry out: " + action);
      };
    } catch (CompletionException e) {
      final boolean effectPossible =
          e.getCause() instanceof PlatformException failure && failure.effectPossible();
      return new SubmitEvent.Failed(effectPossible, e.getCause().getMessage());
    }
  }

  private SubmitEvent commit(final SubmitAction.Commit commit) {
    final String json = json(commit.head());
    final String numberKey = ConfigHead.numberKey(commit.head().number());
    final Transaction transaction =
        new Transaction(
            List.of(
                new Condition(ConfigHead.ROW_KEY, commit.headVersion()),
                new Condition(numberKey, 0)),
            List.of(new Write(ConfigHead.ROW_KEY, json), new Write(numberKey, json)));
    return switch (store.commit(transaction).join()) {
      case CommitResult.Committed committed -> new SubmitEvent.Committed();
      case CommitResult.Conflict conflict -> {
        final Row own = store.read(numberKey).join();
        yield new SubmitEvent.Conflicted(own.exists() ? head(own) : null);
      }
    };
  }

  /**
   * Describes what has changed between two configurations.
   *
   * @param before the earlier number
   * @param after the later number
   * @return a line for each change
   */
  List<String> changes(final long before, final long after) {
    return ConfigDifference.describe(textOf(before), textOf(after));
  }

  private String textOf(final long number) {
    if (number == 0) {
      return "";
    }
    final Row row = store.read(ConfigHead.numberKey(number)).join();
    return store.object(head(row).objectKey()).join().orElse("");
  }

  private ConfigHead head(final Row row) {
    if (!row.exists()) {
      return new ConfigHead(0, "", "");
    }
    try {
      return mapper.readValue(row.value(), ConfigHead.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the row " + row.key() + " is malformed", e);
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
