package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** What a worker says of itself: in a report, and in every answer to a direct command. */
public record Report(String machine, String address, String type, String zone, boolean spot,
        long session, long seq, long token, Double noticeS, List<Task> tasks) {

    public enum State { FETCHING, RUNNING, SAVING, EXITED }

    public enum Why { DONE, STOPPED, ERROR, NO_ROOM, BUSY, UNKNOWN, NONE }

    public record Task(TaskId task, long attempt, State state, Why why) {}

    public static Report parse(JsonNode body) throws InvalidField {
        Fields f = Fields.of(body, "");
        List<Task> tasks = new ArrayList<>();
        for (Fields t : f.objects("Legs")) {
            State state = switch (t.text("Status")) {
                case "fetching" -> State.FETCHING;
                case "running" -> State.RUNNING;
                case "flushing" -> State.SAVING;
                case "ended" -> State.EXITED;
                default -> throw new InvalidField("Status", "is not a state of a task");
            };
            Why why = !t.has("Cause") ? Why.NONE : switch (t.text("Cause")) {
                case "done" -> Why.DONE;
                case "halted" -> Why.STOPPED;
                case "no_room" -> Why.NO_ROOM;
                case "in_use" -> Why.BUSY;
                case "unknown" -> Why.UNKNOWN;
                default -> Why.ERROR;
            };
            tasks.add(new Task(TaskId.parse(t.text("Leg")), t.count("Lap", 0, Long.MAX_VALUE), state, why));
        }
        return new Report(f.text("Cadre"), f.text("Address"), f.text("Rig"), f.text("Depot"), f.flag("Loaner"),
                f.count("Shift", 0, Long.MAX_VALUE), f.count("Tick", 0, Long.MAX_VALUE),
                f.count("Baton", 0, Long.MAX_VALUE),
                f.has("RecallS") ? f.number("RecallS", -1e9, 1e9) : null, tasks);
    }

    /** Whether this message was made after another one of the same worker. */
    public boolean newerThan(long otherSession, long otherSeq) {
        return session > otherSession || session == otherSession && seq > otherSeq;
    }
}
