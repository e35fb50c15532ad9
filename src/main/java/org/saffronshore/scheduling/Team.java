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
  private final Resources launched = new Resources(0, 0, 0);

  /** The part of it that runs or is saving. */
  private final Resources running = new Resources(0, 0, 0);

  /** What may be on machines not accounted for, of open jobs and of jobs that are over. */
  private final Resources possible = new Resources(0, 0, 0);

  private final Resources possiblyHeld = new Resources(0, 0, 0);

  public Team(Settings.Team rights, double weight) {
    this.rights = rights;
    this.weight = weight;
  }

  /** Counts a task that is on a machine, or is being put there. */
  public void use(JobSpec job, SchedulingSettings tuning) {
    share(job, tuning, 1);
    launched.give(job);
  }

  /** Notes that a task which is counted already runs or is saving. */
  public void addRunning(JobSpec job) {
    running.give(job);
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
    possible.give(new Resources(maybeCpus, maybeGpus, 0));
  }

  /**
   * Counts against the limit only what may be running of jobs that are over, which nobody can name
   * any more.
   */
  public void addPossiblyHeld(double moreCpus, double moreGpus) {
    possiblyHeld.give(new Resources(moreCpus, moreGpus, 0));
  }

  /** What counts against the limit now. */
  public TeamUse use() {
    return new TeamUse(
        rights.name(),
        new TeamUse.Amounts(
            running.cpus, launched.cpus, possible.cpus, possiblyHeld.cpus, rights.cpusMax()),
        new TeamUse.Amounts(
            running.gpus, launched.gpus, possible.gpus, possiblyHeld.gpus, rights.gpusMax()));
  }

  boolean withinLimit(JobSpec job) {
    double cpusAfter = countedCpus() + job.cpus();
    double gpusAfter = launched.gpus + possible.gpus + possiblyHeld.gpus + job.gpus();
    return (rights.cpusMax() <= 0 || cpusAfter <= rights.cpusMax() + EPSILON)
        && (rights.gpusMax() <= 0 || gpusAfter <= rights.gpusMax() + EPSILON);
  }

  /** Whether the limit would let the task in if all machines were accounted for. */
  boolean withinLimitOfKnown(JobSpec job) {
    return (rights.cpusMax() <= 0 || launched.cpus + job.cpus() <= rights.cpusMax() + EPSILON)
        && (rights.gpusMax() <= 0 || launched.gpus + job.gpus() <= rights.gpusMax() + EPSILON);
  }

  private double countedCpus() {
    return launched.cpus + possible.cpus + possiblyHeld.cpus;
  }

  /** How many more of such tasks the limit lets in. */
  int tasksWithinLimit(JobSpec job, int most) {
    return rights.cpusMax() <= 0 || job.cpus() <= 0
        ? most
        : (int) Math.min(most, (rights.cpusMax() - countedCpus()) / job.cpus() + EPSILON);
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
