package org.saffronshore.scheduling;

import org.saffronshore.config.TeamQuota;
import org.saffronshore.wire.JobSpec;

/** A team during one cycle: its rights, and what its tasks use or may be using. */
public final class Team {
  private static final double EPSILON = 1e-6;
  final TeamQuota quota;
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

  public Team(TeamQuota quota, double weight) {
    this.quota = quota;
    this.weight = weight;
  }

  /** Counts a task that is on a machine, or is being put there. */
  public void use(JobSpec job, SchedulingSettings tuning) {
    share(job, tuning, 1);
    launched.add(job);
  }

  /** Notes that a task which is counted already runs or is saving. */
  public void addRunning(JobSpec job) {
    running.add(job);
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
    possible.add(new Resources(maybeCpus, maybeGpus, 0));
  }

  /**
   * Counts against the limit only what may be running of jobs that are over, which nobody can name
   * any more.
   */
  public void addPossiblyHeld(double moreCpus, double moreGpus) {
    possiblyHeld.add(new Resources(moreCpus, moreGpus, 0));
  }

  /** What counts against the limit now. */
  public QuotaUsage use() {
    return new QuotaUsage(
        quota.name(),
        new QuotaUsage.Amounts(
            running.cpus, launched.cpus, possible.cpus, possiblyHeld.cpus, quota.maxCpus()),
        new QuotaUsage.Amounts(
            running.gpus, launched.gpus, possible.gpus, possiblyHeld.gpus, quota.maxGpus()));
  }

  boolean withinLimit(JobSpec job) {
    double cpusAfter = countedCpus() + job.cpus();
    double gpusAfter = launched.gpus + possible.gpus + possiblyHeld.gpus + job.gpus();
    return (quota.maxCpus() <= 0 || cpusAfter <= quota.maxCpus() + EPSILON)
        && (quota.maxGpus() <= 0 || gpusAfter <= quota.maxGpus() + EPSILON);
  }

  /** Whether the limit would let the task in if all machines were accounted for. */
  boolean withinLimitOfKnown(JobSpec job) {
    return (quota.maxCpus() <= 0 || launched.cpus + job.cpus() <= quota.maxCpus() + EPSILON)
        && (quota.maxGpus() <= 0 || launched.gpus + job.gpus() <= quota.maxGpus() + EPSILON);
  }

  private double countedCpus() {
    return launched.cpus + possible.cpus + possiblyHeld.cpus;
  }

  /** How many more of such tasks the limit lets in. */
  int tasksWithinLimit(JobSpec job, int most) {
    return quota.maxCpus() <= 0 || job.cpus() <= 0
        ? most
        : (int) Math.min(most, (quota.maxCpus() - countedCpus()) / job.cpus() + EPSILON);
  }

  boolean withinGuarantee(JobSpec job) {
    return (quota.guaranteedCpus() > 0 || quota.guaranteedGpus() > 0)
        && cpus + job.cpus() <= quota.guaranteedCpus() + EPSILON
        && gpus + job.gpus() <= quota.guaranteedGpus() + EPSILON;
  }

  /** Whether the team, without this task of its own, would still have all that it is guaranteed. */
  boolean beyondGuarantee(JobSpec job) {
    return (quota.guaranteedCpus() <= 0 || cpus - job.cpus() >= quota.guaranteedCpus() - EPSILON)
        && (quota.guaranteedGpus() <= 0 || gpus - job.gpus() >= quota.guaranteedGpus() - EPSILON);
  }

  /** Whether without these tasks of its own the team would have less than it is guaranteed. */
  boolean guaranteeReachedBy(Resources stopped) {
    return (quota.guaranteedCpus() > 0 && cpus - stopped.cpus < quota.guaranteedCpus() - EPSILON)
        || (quota.guaranteedGpus() > 0 && gpus - stopped.gpus < quota.guaranteedGpus() - EPSILON);
  }

  /** The fraction of its fair share that the team would have with one more task of this cost. */
  double fraction(double more) {
    return (cost + more) / weight;
  }
}
