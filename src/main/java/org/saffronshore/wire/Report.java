package org.saffronshore.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What a worker says of itself: in a report, and in every answer to a direct command. */
public record Report(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long token,
    Double noticeS,
    List<Task> tasks) {

  /** States of a task on a machine. */
  public enum State {
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task exited. */
  public enum Why {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN,
    NONE
  }

  /** A task on a machine, as its worker sees it. */
  public record Task(TaskId task, long attempt, State state, Why why) {}

  /**
   * Reads a report as it comes, without a tree: a large cluster sends hundreds in a second, and
   * what one costs is most of what a leader has to do.
   */
  public static Report parse(byte[] body) throws InvalidField {
    if (body == null) {
      throw new InvalidField("body", "is longer than a body may be");
    }
    try (JsonParser p = Json.parser(body)) {
      if (p.nextToken() != JsonToken.START_OBJECT) {
        throw new InvalidField("body", "must be an object");
      }
      Report report = read(p);
      if (p.nextToken() != null) {
        throw new InvalidField("body", "is more than one JSON value");
      }
      return report;
    } catch (IOException e) {
      throw new InvalidField("body", "is not JSON");
    }
  }

  private static Report read(JsonParser p) throws IOException, InvalidField {
    String machine = null;
    String address = null;
    String type = null;
    String zone = null;
    Boolean spot = null;
    long session = -1;
    long seq = -1;
    long token = -1;
    Double noticeS = null;
    List<Task> tasks = null;
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
            throw new InvalidField(field, "must be true or false");
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
    return new Report(machine, address, type, zone, spot, session, seq, token, noticeS, tasks);
  }

  private static List<Task> tasks(JsonParser p, JsonToken start) throws IOException, InvalidField {
    if (start != JsonToken.START_ARRAY) {
      throw new InvalidField("Legs", "must be a list");
    }
    List<Task> tasks = new ArrayList<>();
    while (p.nextToken() != JsonToken.END_ARRAY) {
      if (p.currentToken() != JsonToken.START_OBJECT) {
        throw new InvalidField("Legs", "must be a list of objects");
      }
      tasks.add(task(p));
    }
    return tasks;
  }

  private static Task task(JsonParser p) throws IOException, InvalidField {
    TaskId task = null;
    long attempt = -1;
    State state = null;
    Why why = Why.NONE;
    while (p.nextToken() != JsonToken.END_OBJECT) {
      String field = p.currentName();
      JsonToken value = p.nextToken();
      switch (field) {
        case "Leg" -> task = TaskId.parse(text(p, value, field));
        case "Lap" -> attempt = count(p, value, field);
        case "Status" -> state = state(text(p, value, field));
        case "Cause" -> why = value == JsonToken.VALUE_NULL ? Why.NONE : why(text(p, value, field));
        default -> p.skipChildren();
      }
    }
    need(task != null, "Legs.Leg");
    need(attempt >= 0, "Legs.Lap");
    need(state != null, "Legs.Status");
    return new Task(task, attempt, state, why);
  }

  private static State state(String text) throws InvalidField {
    return switch (text) {
      case "fetching" -> State.FETCHING;
      case "running" -> State.RUNNING;
      case "flushing" -> State.SAVING;
      case "ended" -> State.EXITED;
      default -> throw new InvalidField("Legs.Status", "is not a state of a task");
    };
  }

  private static Why why(String text) {
    return switch (text) {
      case "done" -> Why.DONE;
      case "halted" -> Why.STOPPED;
      case "no_room" -> Why.NO_ROOM;
      case "in_use" -> Why.BUSY;
      case "unknown" -> Why.UNKNOWN;
      default -> Why.ERROR;
    };
  }

  private static void need(boolean there, String field) throws InvalidField {
    if (!there) {
      throw new InvalidField(field, "is missing or not valid");
    }
  }

  private static String text(JsonParser p, JsonToken value, String field)
      throws IOException, InvalidField {
    if (value != JsonToken.VALUE_STRING || p.getTextLength() == 0) {
      throw new InvalidField(field, "must be a non-empty text");
    }
    return p.getText();
  }

  private static double number(JsonParser p, JsonToken value, String field)
      throws IOException, InvalidField {
    if (!value.isNumeric() || !Double.isFinite(p.getDoubleValue())) {
      throw new InvalidField(field, "must be a number");
    }
    return p.getDoubleValue();
  }

  private static long count(JsonParser p, JsonToken value, String field)
      throws IOException, InvalidField {
    boolean whole =
        value == JsonToken.VALUE_NUMBER_INT
            || value == JsonToken.VALUE_NUMBER_FLOAT
                && p.getDoubleValue() == Math.rint(p.getDoubleValue());
    long n = whole && Math.abs(p.getDoubleValue()) < 0x1p63 ? p.getValueAsLong() : -1;
    if (n < 0) {
      throw new InvalidField(field, "must be a whole number that is not negative");
    }
    return n;
  }

  /** Whether this message was made after another one of the same worker. */
  public boolean newerThan(long otherSession, long otherSeq) {
    return session > otherSession || session == otherSession && seq > otherSeq;
  }
}
