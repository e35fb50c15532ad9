package org.saffronshore.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;
import org.saffronshore.scheduling.Plan;
import org.saffronshore.scheduling.Room;
import org.saffronshore.wire.JobSpec;

/**
 * Foretells when waiting tasks would start on the machines that there are, so that nothing is rented for those
 * that a new machine would not start sooner. A pure function.
 */
public final class Forecast {

    /** A task that leaves its room at a time. */
    private record Release(double at, JobSpec job) {}

    /** A machine, with what is free on it now or when it is up, and what becomes free later. */
    public static final class Line {
        private final Kind kind;
        private final Room room;
        private double openAt;
        private final PriorityQueue<Release> releases = new PriorityQueue<>(Comparator.comparingDouble(Release::at));

        public Line(Kind kind, Room room, double openAt) {
            this.kind = kind;
            this.room = room;
            this.openAt = openAt;
        }

        /** A task that is there already and is expected to end at a time. */
        public void running(JobSpec job, double until) {
            releases.add(new Release(until, job));
        }

        private double startOf(JobSpec job) {
            if (room.fits(job)) {
                return openAt;
            }
            Room later = room.copy();
            List<Release> ordered = new ArrayList<>(releases);
            ordered.sort(releases.comparator());
            for (Release r : ordered) {
                later.give(r.job);
                if (later.fits(job)) {
                    return Math.max(openAt, r.at);
                }
            }
            return Double.POSITIVE_INFINITY;
        }

        private void put(JobSpec job, double start, double lasts) {
            while (!room.fits(job) && !releases.isEmpty()) {
                room.give(releases.poll().job);
            }
            openAt = Math.max(openAt, start);
            room.take(job);
            releases.add(new Release(start + lasts, job));
        }
    }

    private Forecast() {}

    /**
     * The tasks that would start later than a machine rented now could take them.
     *
     * @param lasts how long a task is expected to take
     * @param helpAt when a machine rented now for a task would be up
     */
    public static List<Plan.Unmet> late(Collection<Line> lines, List<Plan.Unmet> queue,
            ToDoubleFunction<JobSpec> lasts, ToDoubleFunction<JobSpec> helpAt) {
        List<Plan.Unmet> late = new ArrayList<>();
        for (Plan.Unmet u : queue) {
            JobSpec job = u.job();
            double limit = helpAt.applyAsDouble(job);
            double length = lasts.applyAsDouble(job);
            int left = u.tasks();
            while (left > 0) {
                Line best = null;
                double bestStart = limit;
                for (Line line : lines) {
                    if (line.kind.allows(job)) {
                        double start = line.startOf(job);
                        if (start <= bestStart && (best == null || start < bestStart)) {
                            best = line;
                            bestStart = start;
                        }
                    }
                }
                if (best == null) {
                    break;
                }
                best.put(job, bestStart, length);
                left--;
            }
            if (left > 0) {
                late.add(new Plan.Unmet(job, left));
            }
        }
        return late;
    }
}
