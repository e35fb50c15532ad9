package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.fleet.Kind;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * A machine during one cycle. {@code free} is what is free now; {@code room} adds what tasks that are being
 * stopped, or are evicted in memory, will leave. A task that only fits the latter is promised its place, not
 * started there.
 */
public final class Host {
    public final String id;
    public final Kind kind;
    final double cpus;
    public final Room free;
    public final Room room;
    final List<Slot> slots = new ArrayList<>();
    final Map<String, Integer> teams = new HashMap<>();
    private final Set<TaskId> barred;
    private final Set<String> images;

    public Host(String id, Kind kind, Room capacity, Set<TaskId> barred,
            Set<String> images) {
        this.id = id;
        this.kind = kind;
        this.cpus = capacity.cpus;
        this.free = capacity;
        this.room = capacity.copy();
        this.barred = barred;
        this.images = images;
    }

    /** Puts a task that is there already. */
    public void add(Slot slot) {
        free.take(slot.job());
        if (!slot.stopping()) {
            room.take(slot.job());
            slots.add(slot);
            teams.merge(slot.job().team(), 1, Integer::sum);
        }
    }

    void leave(Slot slot) {
        room.give(slot.job());
        slots.remove(slot);
        teams.merge(slot.job().team(), -1, (a, b) -> a + b == 0 ? null : a + b);
    }

    void enter(JobSpec job) {
        room.take(job);
        teams.merge(job.team(), 1, Integer::sum);
    }

    boolean barred(TaskId task) {
        return barred.contains(task);
    }

    boolean holds(String image) {
        return images.contains(image);
    }

    /** 0 where only this team is, 1 where others are, 2 where nobody is: the order in which sets are tried. */
    int set(String team) {
        return teams.isEmpty() ? 2 : teams.size() == 1 && teams.containsKey(team) ? 0 : 1;
    }
}
