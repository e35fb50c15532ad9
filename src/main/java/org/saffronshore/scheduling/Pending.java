package org.saffronshore.scheduling;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.saffronshore.wire.JobSpec;

/** A job with tasks that may be placed now, and where its other tasks are or may be. */
public final class Pending {
    public final JobSpec job;
    /** Submission order. */
    public final long order;
    final Deque<Integer> tasks;
    final Map<String, Integer> perZone;

    public Pending(JobSpec job, long order, Collection<Integer> tasks, Map<String, Integer> perZone) {
        this.job = job;
        this.order = order;
        this.tasks = new ArrayDeque<>(tasks);
        this.perZone = new HashMap<>(perZone);
    }

    /** Whether one more task of the job may be in this zone, given the job's other tasks. */
    boolean zoneAllowed(String zone) {
        if (job.oneZone() && !perZone.isEmpty() && !perZone.containsKey(zone)) {
            return false;
        }
        return !job.spread() || perZone.getOrDefault(zone, 0) < job.spreadLimit();
    }

    void entered(String zone) {
        perZone.merge(zone, 1, Integer::sum);
    }
}
