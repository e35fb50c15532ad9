package org.saffronshore.scheduling;

import org.saffronshore.config.Settings;
import org.saffronshore.wire.JobSpec;

/** A team during one cycle: its rights, and what its tasks use or may be using. */
public final class Team {
    private static final double CRUMB = 1e-6;
    final Settings.Team rights;
    final double weight;
    double cpus;
    double gpus;
    double cost;

    public Team(Settings.Team rights, double weight) {
        this.rights = rights;
        this.weight = weight;
    }

    public void use(JobSpec job, Tuning tuning, int sign) {
        cpus += sign * job.cpus();
        gpus += sign * job.gpus();
        cost += sign * tuning.cost(job);
    }

    /** Counts what may be running without anybody knowing which task it is. */
    public void maybe(double maybeCpus, double maybeGpus) {
        cpus += maybeCpus;
        gpus += maybeGpus;
    }

    boolean withinLimit(JobSpec job) {
        return (rights.cpusMax() <= 0 || cpus + job.cpus() <= rights.cpusMax() + CRUMB)
                && (rights.gpusMax() <= 0 || gpus + job.gpus() <= rights.gpusMax() + CRUMB);
    }

    boolean withinGuarantee(JobSpec job) {
        return (rights.cpus() > 0 || rights.gpus() > 0)
                && cpus + job.cpus() <= rights.cpus() + CRUMB && gpus + job.gpus() <= rights.gpus() + CRUMB;
    }

    /** Whether the team, without this task of its own, would still have all that it is guaranteed. */
    boolean beyondGuarantee(JobSpec job) {
        return (rights.cpus() <= 0 || cpus - job.cpus() >= rights.cpus() - CRUMB)
                && (rights.gpus() <= 0 || gpus - job.gpus() >= rights.gpus() - CRUMB);
    }

    /** The fraction of its fair share that the team would have with one more task of this cost. */
    double fraction(double more) {
        return (cost + more) / weight;
    }
}
