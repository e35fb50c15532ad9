package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** An order to a worker about one attempt at one task. */
public record Command(Op op, TaskId task, long attempt, double graceS) {

  /** What a worker is to do. */
  public enum Op {
    START,
    STOP,
    FORGET
  }

  public static Command start(TaskId task, long attempt) {
    return new Command(Op.START, task, attempt, 0);
  }

  public static Command stop(TaskId task, long attempt, double graceS) {
    return new Command(Op.STOP, task, attempt, graceS);
  }

  public static Command forget(TaskId task, long attempt) {
    return new Command(Op.FORGET, task, attempt, 0);
  }

  /** Adds commands to a message to a worker. */
  public static void write(ObjectNode message, List<Command> commands) {
    ArrayNode calls = message.putArray("Calls");
    for (Command c : commands) {
      ObjectNode o = calls.addObject();
      o.put(
          "Call",
          switch (c.op) {
            case START -> "launch";
            case STOP -> "kill";
            case FORGET -> "reap";
          });
      o.put("Leg", c.task.toString()).put("Lap", c.attempt);
      if (c.op == Op.STOP) {
        o.put("CooldownS", c.graceS);
      }
    }
  }
}
