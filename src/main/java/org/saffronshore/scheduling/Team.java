package org.saffronshore.scheduling;

import org.saffronshore.config.Settings;
import org.saffronshore.wire.JobSpec;

/** A team during one cycle: its rights, and what its tasks use or may be using. */
public final class Team {
  private static final double EPSILON = 1e-6;
  final Settings.Team rights;
  final double weight;
  double cpus;
  double gpus;
  double cost;

  /** What is on machines, evicted tasks included: they are there until they are proven gone. */
  private double heldCpus;

  private double heldGpus;

  public Team(Settings.Team rights, double weight) {
    this.rights = rights;
    this.weight = weight;
  }

  /** Counts a task that is on a machine, or is being put there. */
  public void use(JobSpec job, SchedulingSettings tuning) {
    share(job, tuning, 1);
    heldCpus += job.cpus();
    heldGpus += job.gpus();
  }

  /**
   * Counts a task into the team's share, or out of it. The limit is about what is on machines, not
   * about shares.
   */
  void share(JobSpec job, SchedulingSettings tuning, int sign) {
    cpus += sign * job.cpus();
    gpus += sign * job.gpus();
    cost += sign * tuning.cost(job);
  }

  /** Counts what may be running without anybody knowing which task it is. */
  public void addPossible(double maybeCpus, double maybeGpus) {
    cpus += maybeCpus;
    gpus += maybeGpus;
    heldCpus += maybeCpus;
    heldGpus += maybeGpus;
  }

  /**
   * Counts against the limit only what may be running of jobs that are over, which nobody can name
   * any more.
   */
  public void addPossiblyHeld(double moreCpus, double moreGpus) {
    heldCpus += moreCpus;
    heldGpus += moreGpus;
  }

  boolean withinLimit(JobSpec job) {
    return (rights.cpusMax() <= 0 || heldCpus + job.cpus() <= rights.cpusMax() + EPSILON)
        && (rights.gpusMax() <= 0 || heldGpus + job.gpus() <= rights.gpusMax() + EPSILON);
  }

  /** How many more of such tasks the limit lets in. */
  int tasksWithinLimit(JobSpec job, int most) {
    return rights.cpusMax() <= 0 || job.cpus() <= 0
        ? most
        : (int) Math.min(most, (rights.cpusMax() - heldCpus) / job.cpus() + EPSILON);
  }

  boolean withinGuarantee(JobSpec job) {
    return (rights.cpus() > 0 || rights.gpus() > 0)
        && cpus + job.cpus() <= rights.cpus() + EPSILON
        && gpus + job.gpus() <= rights.gpus() + EPSILON;
  }

  /** Whether the team, without this task of its own, would still have all that it is guaranteed. */
  boolean beyondGuarantee(JobSpec job) {
    return (rights.cpus() <= 0 || cpus - job.cpus() >= rights.cpus() - EPSILON)
        && (rights.gpus() <= 0 || gpus - job.gpus() >= rights.gpus() - EPSILON);
  }

  /** Whether without these tasks of its own the team would have less than it is guaranteed. */
  boolean guaranteeReachedBy(Resources stopped) {
    return rights.cpus() > 0 && cpus - stopped.cpus < rights.cpus() - EPSILON
        || rights.gpus() > 0 && gpus - stopped.gpus < rights.gpus() - EPSILON;
  }

  /** The fraction of its fair share that the team would have with one more task of this cost. */
  double fraction(double more) {
    return (cost + more) / weight;
  }
}
