package org.saffronshore.scheduling;

import org.saffronshore.config.TeamQuota;
import org.saffronshore.wire.JobSpec;

/**
 * A team during one cycle: what it is guaranteed, what it may use at most, and what its tasks use
 * or may be using.
 *
 * <p>Two totals are kept apart. The <em>share</em> is compared with the guarantee and with other
 * teams' shares; evicted tasks are not in it. The <em>quota usage</em> is compared with the limit;
 * evicted tasks are in it, since they are on their machines until they are known to have stopped.
 */
public final class Team {
  private final TeamQuota quota;
  private final double weight;

  private final Resources share = Resources.zero();

  /** The cost of the tasks in the share. */
  private double shareCost;

  private final Resources launched = Resources.zero();
  private final Resources running = Resources.zero();
  private final Resources possible = Resources.zero();
  private final Resources unattributed = Resources.zero();

  /**
   * A team without tasks.
   *
   * @param weight its part of the cluster in relation to the weights of other teams; above 0
   */
  public Team(TeamQuota quota, double weight) {
    this.quota = quota;
    this.weight = weight;
  }

  String name() {
    return quota.name();
  }

  TeamQuota quota() {
    return quota;
  }

  /** What the team's tasks use but for evicted ones, and what its open jobs may be using. */
  Resources share() {
    return share;
  }

  /** Counts a task that is on a machine, or is being launched there. */
  public void addLaunched(JobSpec job, SchedulingSettings settings) {
    addToShare(job, settings);
    launched.add(job);
  }

  /** Notes that a task which is counted as launched is running or saves a checkpoint. */
  public void addRunning(JobSpec job) {
    running.add(job);
  }

  /** Counts what tasks of the team's open jobs may be using on unreconciled machines. */
  public void addPossible(double cpus, double gpus) {
    Resources amount = new Resources(cpus, gpus, 0);
    share.add(amount);
    possible.add(amount);
  }

  /**
   * Counts what may be in use on unreconciled machines by tasks that belong to no open job, as far
   * as is known. It counts against the limit only.
   */
  public void addUnattributed(double cpus, double gpus) {
    unattributed.add(new Resources(cpus, gpus, 0));
  }

  /** Counts a task into the team's share. */
  void addToShare(JobSpec job, SchedulingSettings settings) {
    share.add(job);
    shareCost += settings.cost(job);
  }

  /** Takes a task that was evicted or is to be preempted out of the team's share. */
  void removeFromShare(JobSpec job, SchedulingSettings settings) {
    share.subtract(job);
    shareCost -= settings.cost(job);
  }

  /** What counts against the limit now. */
  public QuotaUsage quotaUsage() {
    return new QuotaUsage(
        quota.name(),
        new QuotaUsage.Amounts(
            running.cpus, launched.cpus, possible.cpus, unattributed.cpus, quota.maxCpus()),
        new QuotaUsage.Amounts(
            running.gpus, launched.gpus, possible.gpus, unattributed.gpus, quota.maxGpus()));
  }

  /** Whether the limit lets one more task of the job run. */
  boolean isWithinLimitWith(JobSpec job) {
    return isWithinLimitWith(job, countedCpus(), countedGpus());
  }

  /** Whether the limit would let one more task run if all machines were reconciled and empty. */
  boolean isWithinLimitIfReconciledWith(JobSpec job) {
    return isWithinLimitWith(job, launched.cpus, launched.gpus);
  }

  private boolean isWithinLimitWith(JobSpec job, double usedCpus, double usedGpus) {
    return (quota.maxCpus() <= 0 || usedCpus + job.cpus() <= quota.maxCpus() + Resources.EPSILON)
        && (quota.maxGpus() <= 0 || usedGpus + job.gpus() <= quota.maxGpus() + Resources.EPSILON);
  }

  /** How many of some tasks of the job the limit on CPUs lets run. */
  int tasksWithinLimit(JobSpec job, int tasks) {
    return quota.maxCpus() <= 0 || job.cpus() <= 0
        ? tasks
        : (int) Math.min(tasks, (quota.maxCpus() - countedCpus()) / job.cpus() + Resources.EPSILON);
  }

  private double countedCpus() {
    return launched.cpus + possible.cpus + unattributed.cpus;
  }

  private double countedGpus() {
    return launched.gpus + possible.gpus + unattributed.gpus;
  }

  /** Whether the team with one more task of the job has no more than it is guaranteed. */
  boolean isWithinGuaranteeWith(JobSpec job) {
    return (quota.guaranteedCpus() > 0 || quota.guaranteedGpus() > 0)
        && share.cpus + job.cpus() <= quota.guaranteedCpus() + Resources.EPSILON
        && share.gpus + job.gpus() <= quota.guaranteedGpus() + Resources.EPSILON;
  }

  /** Whether the team, without this task of its own, still has all that it is guaranteed. */
  boolean isGuaranteeMetWithout(JobSpec job) {
    return !isBelowGuaranteeWithout(job.cpus(), job.gpus());
  }

  /** Whether the team, without these tasks of its own, has less than it is guaranteed. */
  boolean isBelowGuaranteeWithout(Resources tasks) {
    return isBelowGuaranteeWithout(tasks.cpus, tasks.gpus);
  }

  private boolean isBelowGuaranteeWithout(double cpus, double gpus) {
    return isBelow(quota.guaranteedCpus(), share.cpus - cpus)
        || isBelow(quota.guaranteedGpus(), share.gpus - gpus);
  }

  private static boolean isBelow(double guaranteed, double amount) {
    return guaranteed > 0 && amount < guaranteed - Resources.EPSILON;
  }

  /**
   * The fraction of its fair share that the team would have with one more task, up to a factor that
   * is the same for all teams.
   *
   * @param cost the task's cost
   */
  double fractionOfShareWith(double cost) {
    return (shareCost + cost) / weight;
  }
}
