package org.saffronshore.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.Heartbeat.TaskStatus;

/**
 * Parses heartbeats token by token, without building a tree: a large cluster sends hundreds per
 * second, and handling them is most of the leader's work.
 */
final class HeartbeatParser {
  /** The value of an integer field that has not been read yet; no valid value is negative. */
  private static final long ABSENT = -1;

  private HeartbeatParser() {}

  static Heartbeat parse(byte @Nullable [] body) throws InvalidFieldException {
    if (body == null) {
      throw new InvalidFieldException("body", "exceeds the maximum body length");
    }
    try (JsonParser parser = Json.parser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new InvalidFieldException("body", "must be an object");
      }
      Heartbeat heartbeat = read(parser);
      if (parser.nextToken() != null) {
        throw new InvalidFieldException("body", "must be exactly one JSON value");
      }
      return heartbeat;
    } catch (IOException e) {
      throw new InvalidFieldException("body", "must be valid JSON");
    }
  }

  private static Heartbeat read(JsonParser parser) throws IOException, InvalidFieldException {
    String machine = null;
    String address = null;
    String type = null;
    String zone = null;
    Boolean spot = null;
    long epoch = ABSENT;
    long sequence = ABSENT;
    long fencingToken = ABSENT;
    Double preemptionNoticeS = null;
    List<TaskStatus> tasks = null;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      JsonToken value = parser.nextToken();
      switch (field) {
        case "Cadre" -> machine = text(parser, value, field);
        case "Address" -> address = text(parser, value, field);
        case "Rig" -> type = text(parser, value, field);
        case "Depot" -> zone = text(parser, value, field);
        case "Loaner" -> {
          if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE) {
            throw new InvalidFieldException(field, "must be true or false");
          }
          spot = value == JsonToken.VALUE_TRUE;
        }
        case "Shift" -> epoch = integer(parser, value, field);
        case "Tick" -> sequence = integer(parser, value, field);
        case "Baton" -> fencingToken = integer(parser, value, field);
        case "RecallS" ->
            preemptionNoticeS = value == JsonToken.VALUE_NULL ? null : number(parser, value, field);
        case "Legs" -> tasks = tasks(parser, value);
        default -> parser.skipChildren();
      }
    }
    return new Heartbeat(
        required(machine, "Cadre"),
        required(address, "Address"),
        required(type, "Rig"),
        required(zone, "Depot"),
        required(spot, "Loaner"),
        required(epoch, "Shift"),
        required(sequence, "Tick"),
        required(fencingToken, "Baton"),
        preemptionNoticeS,
        required(tasks, "Legs"));
  }

  private static List<TaskStatus> tasks(JsonParser parser, JsonToken start)
      throws IOException, InvalidFieldException {
    if (start != JsonToken.START_ARRAY) {
      throw new InvalidFieldException("Legs", "must be a list");
    }
    List<TaskStatus> tasks = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      if (parser.currentToken() != JsonToken.START_OBJECT) {
        throw new InvalidFieldException("Legs", "must be a list of objects");
      }
      tasks.add(task(parser));
    }
    return tasks;
  }

  private static TaskStatus task(JsonParser parser) throws IOException, InvalidFieldException {
    TaskId task = null;
    long attempt = ABSENT;
    TaskState state = null;
    ExitReason exitReason = ExitReason.NONE;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      JsonToken value = parser.nextToken();
      switch (field) {
        case "Leg" -> task = TaskId.parse(text(parser, value, field));
        case "Lap" -> attempt = integer(parser, value, field);
        case "Status" -> state = state(text(parser, value, field));
        case "Cause" ->
            exitReason =
                value == JsonToken.VALUE_NULL
                    ? ExitReason.NONE
                    : exitReason(text(parser, value, field));
        default -> parser.skipChildren();
      }
    }
    return new TaskStatus(
        required(task, "Legs.Leg"),
        required(attempt, "Legs.Lap"),
        required(state, "Legs.Status"),
        exitReason);
  }

  private static TaskState state(String text) throws InvalidFieldException {
    return switch (text) {
      case "fetching" -> TaskState.PULLING_IMAGE;
      case "running" -> TaskState.RUNNING;
      case "flushing" -> TaskState.CHECKPOINTING;
      case "ended" -> TaskState.EXITED;
      default ->
          throw new InvalidFieldException(
              "Legs.Status", "must be fetching, running, flushing or ended");
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

  private static <T> T required(@Nullable T value, String field) throws InvalidFieldException {
    if (value == null) {
      throw missing(field);
    }
    return value;
  }

  private static long required(long value, String field) throws InvalidFieldException {
    if (value < 0) {
      throw missing(field);
    }
    return value;
  }

  private static InvalidFieldException missing(String field) {
    return new InvalidFieldException(field, "is missing");
  }

  private static String text(JsonParser parser, JsonToken value, String field)
      throws IOException, InvalidFieldException {
    if (value != JsonToken.VALUE_STRING || parser.getTextLength() == 0) {
      throw new InvalidFieldException(field, "must be a non-empty string");
    }
    return parser.getText();
  }

  private static double number(JsonParser parser, JsonToken value, String field)
      throws IOException, InvalidFieldException {
    if (!value.isNumeric() || !Double.isFinite(parser.getDoubleValue())) {
      throw new InvalidFieldException(field, "must be a number");
    }
    return parser.getDoubleValue();
  }

  private static long integer(JsonParser parser, JsonToken value, String field)
      throws IOException, InvalidFieldException {
    boolean whole =
        value == JsonToken.VALUE_NUMBER_INT
            || (value == JsonToken.VALUE_NUMBER_FLOAT
                && parser.getDoubleValue() == Math.rint(parser.getDoubleValue()));
    long number =
        whole && Math.abs(parser.getDoubleValue()) < 0x1p63 ? parser.getValueAsLong() : -1;
    if (number < 0) {
      throw new InvalidFieldException(field, "must be a non-negative integer");
    }
    return number;
  }
}
