package org.saffronshore.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.scheduling.Room;
import org.saffronshore.wire.JobSpec;

/** What jobs of each class look like and how often they come, as far as this term has seen. */
public final class Arrivals {

    private static final class Seen {
        JobSpec example;
        int jobs;
        long tasks;
        double firstAt;
        double lastAt;
    }

    /** A typical job of a class that is to find room at once. */
    public record Expected(JobSpec task, double tasks) {}

    private final Map<String, Seen> classes = new HashMap<>();

    public void saw(JobSpec job, double now) {
        Seen seen = classes.computeIfAbsent(job.jobClass(), c -> new Seen());
        if (seen.jobs == 0) {
            seen.firstAt = now;
        }
        seen.example = job;
        seen.jobs++;
        seen.tasks += job.tasks();
        seen.lastAt = now;
    }

    /** A typical job of every class that still comes: one that has not stayed away for several of its usual gaps. */
    public List<Expected> expected(double now, double leastGapS) {
        List<Expected> all = new ArrayList<>();
        for (Seen s : classes.values()) {
            double gap = Math.max(leastGapS, s.jobs < 2 ? 0 : (s.lastAt - s.firstAt) / (s.jobs - 1));
            if (now - s.lastAt < 3 * gap) {
                all.add(new Expected(s.example, (double) s.tasks / s.jobs));
            }
        }
        return all;
    }

    /** How many tasks like this one fit into some room. */
    public static double fitting(Room room, JobSpec task) {
        double n = task.cpus() > 0 ? Math.floor((room.cpus + 1e-6) / task.cpus()) : JobSpec.MOST_TASKS;
        n = task.memoryGb() > 0 ? Math.min(n, Math.floor((room.memoryGb + 1e-6) / task.memoryGb())) : n;
        n = task.gpus() > 0 ? Math.min(n, Math.floor((room.gpus + 1e-6) / task.gpus())) : n;
        return Math.max(0, n);
    }
}
