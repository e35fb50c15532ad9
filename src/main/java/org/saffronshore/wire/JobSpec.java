package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;

/** What a user asked for: an array of independent tasks and what each may run on. */
public record JobSpec(String id, String jobClass, String team, Priority priority, int tasks,
        double cpus, double gpus, double memoryGb, String image, double imageGb,
        List<String> types, String zone, boolean oneZone, boolean spread, boolean spot,
        double estimateS, double checkpointS, double saveS, double deadlineS) {

    public static final int MOST_TASKS = 100_000;
    private static final Pattern ID = Pattern.compile("wk-[0-9]{1,18}");
    private static final double MOST = 1e9;

    /** Whether a text has the form of a job id, and may thus be part of a key of the state service. */
    public static boolean isId(String text) {
        return text != null && ID.matcher(text).matches();
    }

    public static JobSpec parse(JsonNode body) throws InvalidField {
        Fields f = Fields.of(body, "");
        String id = f.text("Uid");
        if (!isId(id)) {
            throw new InvalidField("Uid", "must have the form wk-000412");
        }
        if (!"array".equals(f.text("Shape"))) {
            throw new InvalidField("Shape", "must be array");
        }
        List<String> types = f.textsOrNull("Rigs");
        return new JobSpec(id, f.text("RouteKind"), f.text("Crew"), Priority.of(f.text("Urgency")),
                (int) f.count("Legs", 1, MOST_TASKS),
                f.number("Cores", 0, MOST), f.number("Accelerators", 0, MOST), f.number("RamGb", 0, MOST),
                f.text("Kit"), f.number("ImageGb", 0, MOST), types, f.textOrNull("Depot"),
                f.flag("SamePlace"), f.flag("Spread"), f.flag("Loaner"),
                f.number("EtaS", 0, MOST), f.number("WaypointS", 0, MOST), f.number("StashS", 0, MOST),
                f.number("CutoffS", 0, MOST, Double.POSITIVE_INFINITY));
    }

    public ObjectNode toJson() {
        ObjectNode o = Json.object();
        o.put("Uid", id).put("RouteKind", jobClass).put("Crew", team).put("Shape", "array")
                .put("Urgency", priority.wire()).put("Legs", tasks)
                .put("Cores", cpus).put("Accelerators", gpus).put("RamGb", memoryGb)
                .put("Kit", image).put("ImageGb", imageGb);
        if (types != null) {
            var array = o.putArray("Rigs");
            types.forEach(array::add);
        }
        if (zone != null) {
            o.put("Depot", zone);
        }
        o.put("SamePlace", oneZone).put("Spread", spread).put("Loaner", spot)
                .put("EtaS", estimateS).put("WaypointS", checkpointS).put("StashS", saveS);
        if (Double.isFinite(deadlineS)) {
            o.put("CutoffS", deadlineS);
        }
        return o;
    }

    /** The most tasks that one zone may hold under {@code Spread}. */
    public int spreadLimit() {
        return (tasks + 1) / 2;
    }

    /** Whether a task of this job asks for at least as much as one of another, and may go to no more machines. */
    public boolean asksNoLess(JobSpec other) {
        return cpus >= other.cpus && gpus >= other.gpus && memoryGb >= other.memoryGb
                && (other.spot || !spot) && (other.zone == null || other.zone.equals(zone))
                && (other.types == null || other.types.equals(types));
    }

    public boolean saves() {
        return checkpointS > 0;
    }
}
