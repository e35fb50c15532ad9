package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** An order to a worker about one attempt at one task. */
public record Command(Action action, TaskId task, long attempt, double gracePeriodS) {

  /** What a worker is to do. */
  public enum Action {
    LAUNCH,
    STOP,
    REAP
  }

  public static Command launch(TaskId task, long attempt) {
    return new Command(Action.LAUNCH, task, attempt, 0);
  }

  public static Command stop(TaskId task, long attempt, double graceS) {
    return new Command(Action.STOP, task, attempt, graceS);
  }

  public static Command reap(TaskId task, long attempt) {
    return new Command(Action.REAP, task, attempt, 0);
  }

  /** Adds commands to a message to a worker. */
  public static void write(ObjectNode message, List<Command> commands) {
    ArrayNode calls = message.putArray("Calls");
    for (Command c : commands) {
      ObjectNode o = calls.addObject();
      o.put(
          "Call",
          switch (c.action) {
            case LAUNCH -> "launch";
            case STOP -> "kill";
            case REAP -> "reap";
          });
      o.put("Leg", c.task.toString()).put("Lap", c.attempt);
      if (c.action == Action.STOP) {
        o.put("CooldownS", c.gracePeriodS);
      }
    }
  }
}
