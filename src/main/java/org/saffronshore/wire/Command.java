package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A command to a worker about one attempt at one task.
 *
 * @param gracePeriodS seconds that the task has to save a checkpoint before it is killed; 0 except
 *     for a stop
 */
public record Command(Action action, TaskId task, long attempt, double gracePeriodS) {

  /**
   * The action that the worker carries out: start the task, stop it, or remove its exited attempt
   * from heartbeats.
   */
  public enum Action {
    LAUNCH,
    STOP,
    REAP
  }

  public static Command launch(TaskId task, long attempt) {
    return new Command(Action.LAUNCH, task, attempt, 0);
  }

  public static Command stop(TaskId task, long attempt, double gracePeriodS) {
    return new Command(Action.STOP, task, attempt, gracePeriodS);
  }

  public static Command reap(TaskId task, long attempt) {
    return new Command(Action.REAP, task, attempt, 0);
  }

  /** Adds the commands to a message for a worker. */
  static void write(ObjectNode message, List<Command> commands) {
    ArrayNode array = message.putArray("Calls");
    commands.forEach(command -> command.write(array.addObject()));
  }

  private void write(ObjectNode tree) {
    tree.put("Call", wireName(action)).put("Leg", task.toString()).put("Lap", attempt);
    if (action == Action.STOP) {
      tree.put("CooldownS", gracePeriodS);
    }
  }

  private static String wireName(Action action) {
    return switch (action) {
      case LAUNCH -> "launch";
      case STOP -> "kill";
      case REAP -> "reap";
    };
  }
}
