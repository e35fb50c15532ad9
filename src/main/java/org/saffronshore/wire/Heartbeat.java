package org.saffronshore.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What a worker says of itself: in a report, and in every answer to a direct command. */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long epoch,
    long sequence,
    long fencingToken,
    Double preemptionNoticeS,
    List<TaskStatus> tasks) {

  /** States of a task on a machine. */
  public enum TaskState {
    PULLING_IMAGE,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  /** Why a task exited. */
  public enum ExitReason {
    COMPLETED,
    STOPPED,
    FAILED,
    INSUFFICIENT_RESOURCES,
    ALREADY_RUNNING,
    UNKNOWN_TASK,
    NONE
  }

  /** A task on a machine, as its worker sees it. */
  public record TaskStatus(TaskId task, long attempt, TaskState state, ExitReason exitReason) {}

  /**
   * Reads a report as it comes, without a tree: a large cluster sends hundreds in a second, and
   * what one costs is most of what a leader has to do.
   */
  public static Heartbeat parse(byte[] body) throws InvalidFieldException {
    if (body == null) {
      throw new InvalidFieldException("body", "is longer than a body may be");
    }
    try (JsonParser p = Json.parser(body)) {
      if (p.nextToken() != JsonToken.START_OBJECT) {
        throw new InvalidFieldException("body", "must be an object");
      }
      Heartbeat report = read(p);
      if (p.nextToken() != null) {
        throw new InvalidFieldException("body", "is more than one JSON value");
      }
      return report;
    } catch (IOException e) {
      throw new InvalidFieldException("body", "is not JSON");
    }
  }

  private static Heartbeat read(JsonParser p) throws IOException, InvalidFieldException {
    String machine = null;
    String address = null;
    String type = null;
    String zone = null;
    Boolean spot = null;
    long session = -1;
    long seq = -1;
    long token = -1;
    Double noticeS = null;
    List<TaskStatus> tasks = null;
    while (p.nextToken() != JsonToken.END_OBJECT) {
      String field = p.currentName();
      JsonToken value = p.nextToken();
      switch (field) {
        case "Cadre" -> machine = text(p, value, field);
        case "Address" -> address = text(p, value, field);
        case "Rig" -> type = text(p, value, field);
        case "Depot" -> zone = text(p, value, field);
        case "Loaner" -> {
          if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE) {
            throw new InvalidFieldException(field, "must be true or false");
          }
          spot = value == JsonToken.VALUE_TRUE;
        }
        case "Shift" -> session = count(p, value, field);
        case "Tick" -> seq = count(p, value, field);
        case "Baton" -> token = count(p, value, field);
        case "RecallS" -> noticeS = value == JsonToken.VALUE_NULL ? null : number(p, value, field);
        case "Legs" -> tasks = tasks(p, value);
        default -> p.skipChildren();
      }
    }
    need(machine != null, "Cadre");
    need(address != null, "Address");
    need(type != null, "Rig");
    need(zone != null, "Depot");
    need(spot != null, "Loaner");
    need(session >= 0, "Shift");
    need(seq >= 0, "Tick");
    need(token >= 0, "Baton");
    need(tasks != null, "Legs");
    return new Heartbeat(machine, address, type, zone, spot, session, seq, token, noticeS, tasks);
  }

  private static List<TaskStatus> tasks(JsonParser p, JsonToken start)
      throws IOException, InvalidFieldException {
    if (start != JsonToken.START_ARRAY) {
      throw new InvalidFieldException("Legs", "must be a list");
    }
    List<TaskStatus> tasks = new ArrayList<>();
    while (p.nextToken() != JsonToken.END_ARRAY) {
      if (p.currentToken() != JsonToken.START_OBJECT) {
        throw new InvalidFieldException("Legs", "must be a list of objects");
      }
      tasks.add(task(p));
    }
    return tasks;
  }

  private static TaskStatus task(JsonParser p) throws IOException, InvalidFieldException {
    TaskId task = null;
    long attempt = -1;
    TaskState state = null;
    ExitReason why = ExitReason.NONE;
    while (p.nextToken() != JsonToken.END_OBJECT) {
      String field = p.currentName();
      JsonToken value = p.nextToken();
      switch (field) {
        case "Leg" -> task = TaskId.parse(text(p, value, field));
        case "Lap" -> attempt = count(p, value, field);
        case "Status" -> state = state(text(p, value, field));
        case "Cause" ->
            why =
                value == JsonToken.VALUE_NULL ? ExitReason.NONE : exitReason(text(p, value, field));
        default -> p.skipChildren();
      }
    }
    need(task != null, "Legs.Leg");
    need(attempt >= 0, "Legs.Lap");
    need(state != null, "Legs.Status");
    return new TaskStatus(task, attempt, state, why);
  }

  private static TaskState state(String text) throws InvalidFieldException {
    return switch (text) {
      case "fetching" -> TaskState.PULLING_IMAGE;
      case "running" -> TaskState.RUNNING;
      case "flushing" -> TaskState.CHECKPOINTING;
      case "ended" -> TaskState.EXITED;
      default -> throw new InvalidFieldException("Legs.Status", "is not a state of a task");
    };
  }

  private static ExitReason exitReason(String text) {
    return switch (text) {
      case "done" -> ExitReason.COMPLETED;
      case "halted" -> ExitReason.STOPPED;
      case "no_room" -> ExitReason.INSUFFICIENT_RESOURCES;
      case "in_use" -> ExitReason.ALREADY_RUNNING;
      case "unknown" -> ExitReason.UNKNOWN_TASK;
      default -> ExitReason.FAILED;
    };
  }

  private static void need(boolean there, String field) throws InvalidFieldException {
    if (!there) {
      throw new InvalidFieldException(field, "is missing or not valid");
    }
  }

  private static String text(JsonParser p, JsonToken value, String field)
      throws IOException, InvalidFieldException {
    if (value != JsonToken.VALUE_STRING || p.getTextLength() == 0) {
      throw new InvalidFieldException(field, "must be a non-empty text");
    }
    return p.getText();
  }

  private static double number(JsonParser p, JsonToken value, String field)
      throws IOException, InvalidFieldException {
    if (!value.isNumeric() || !Double.isFinite(p.getDoubleValue())) {
      throw new InvalidFieldException(field, "must be a number");
    }
    return p.getDoubleValue();
  }

  private static long count(JsonParser p, JsonToken value, String field)
      throws IOException, InvalidFieldException {
    boolean whole =
        value == JsonToken.VALUE_NUMBER_INT
            || (value == JsonToken.VALUE_NUMBER_FLOAT
                && p.getDoubleValue() == Math.rint(p.getDoubleValue()));
    long n = whole && Math.abs(p.getDoubleValue()) < 0x1p63 ? p.getValueAsLong() : -1;
    if (n < 0) {
      throw new InvalidFieldException(field, "must be a whole number that is not negative");
    }
    return n;
  }

  /** Whether this message was made after another one of the same worker. */
  public boolean isNewerThan(long otherSession, long otherSeq) {
    return epoch > otherSession || (epoch == otherSession && sequence > otherSeq);
  }
}
