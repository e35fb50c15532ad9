package org.saffronshore.cluster;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.saffronshore.wire.JobSpec;

/** A job that is not over, as the leader knows it. */
public final class Job {
    final JobSpec spec;
    /** Version of the job's key: it is set once, so this is also when the job was accepted. */
    final long version;
    final long submittedMs;
    final BitSet done;
    /** Finished tasks that the state service knows of. */
    final BitSet saved;
    final BitSet waiting = new BitSet();
    final Map<Integer, Attempt> placed = new HashMap<>();
    /** Machines on which a task of this job failed, since the last time one succeeded. */
    final Set<String> failedOn = new HashSet<>();
    double backOffUntil = Double.NEGATIVE_INFINITY;
    int backOffs;
    boolean saving;

    Job(JobSpec spec, long version, long submittedMs, BitSet done) {
        this.spec = spec;
        this.version = version;
        this.submittedMs = submittedMs;
        this.done = done;
        this.saved = (BitSet) done.clone();
        waiting.set(0, spec.tasks());
        waiting.andNot(done);
    }

    public JobSpec spec() {
        return spec;
    }

    public long version() {
        return version;
    }

    public BitSet doneTasks() {
        return done;
    }

    public BitSet savedTasks() {
        return saved;
    }

    public boolean saving() {
        return saving;
    }

    public void saving(boolean now) {
        saving = now;
    }

    public boolean complete() {
        return done.cardinality() == spec.tasks();
    }

    public boolean unsaved() {
        return !done.equals(saved);
    }

    public int running() {
        int running = 0;
        for (Attempt a : placed.values()) {
            if (a.state == Attempt.State.RUNNING || a.state == Attempt.State.SAVING) {
                running++;
            }
        }
        return running;
    }
}
