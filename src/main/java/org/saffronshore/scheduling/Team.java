package org.saffronshore.scheduling;

import org.saffronshore.config.TeamQuota;
import org.saffronshore.wire.JobSpec;

/**
 * A team during one cycle: its guarantee, its limit, and the resources that its tasks use or may be
 * using.
 *
 * <p>There are two separate totals. The <em>share</em> is compared with the guarantee and with
 * other teams' shares; evicted tasks are not in it. The <em>quota usage</em> is compared with the
 * limit; evicted tasks are in it, since they are on their machines until they are known to have
 * stopped.
 */
public final class Team {
  private final TeamQuota quota;
  private final double weight;

  private final Resources share = Resources.zero();

  /** The total cost of the tasks in the share. */
  private double shareCost;

  private final Resources launched = Resources.zero();
  private final Resources running = Resources.zero();
  private final Resources possible = Resources.zero();
  private final Resources unattributed = Resources.zero();

  /**
   * Creates a team without tasks.
   *
   * @param weight the team's fair share of the cluster, relative to the weights of other teams;
   *     above 0
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

  /**
   * Returns the resources used by the team's tasks, except evicted ones, and the resources that
   * tasks of its open jobs may be using on unreconciled machines.
   */
  Resources share() {
    return share;
  }

  /** Adds a task that is on a machine or is being launched on it. */
  public void addLaunched(JobSpec job, SchedulingSettings settings) {
    addToShare(job, settings);
    launched.add(job);
  }

  /**
   * Adds a task that is running or saving a checkpoint. It must also be added with {@link
   * #addLaunched}.
   */
  public void addRunning(JobSpec job) {
    running.add(job);
  }

  /** Adds resources that tasks of the team's open jobs may be using on unreconciled machines. */
  public void addPossible(double cpus, double gpus) {
    Resources amount = new Resources(cpus, gpus, 0);
    share.add(amount);
    possible.add(amount);
  }

  /**
   * Adds resources that may be in use on unreconciled machines by tasks that are not known to
   * belong to an open job. These resources count against the limit only.
   */
  public void addUnattributed(double cpus, double gpus) {
    unattributed.add(new Resources(cpus, gpus, 0));
  }

  /** Adds a task to the team's share. */
  void addToShare(JobSpec job, SchedulingSettings settings) {
    share.add(job);
    shareCost += settings.cost(job);
  }

  /** Removes a task that was evicted or is to be preempted from the team's share. */
  void removeFromShare(JobSpec job, SchedulingSettings settings) {
    share.subtract(job);
    shareCost -= settings.cost(job);
  }

  /** Returns the usage that currently counts against the limit. */
  public QuotaUsage quotaUsage() {
    return new QuotaUsage(
        quota.name(),
        new QuotaUsage.Amounts(
            running.cpus, launched.cpus, possible.cpus, unattributed.cpus, quota.maxCpus()),
        new QuotaUsage.Amounts(
            running.gpus, launched.gpus, possible.gpus, unattributed.gpus, quota.maxGpus()));
  }

  /** Returns whether the limit allows one more task of the job. */
  boolean isWithinLimitWith(JobSpec job) {
    return isWithinLimitWith(job, countedCpus(), countedGpus());
  }

  /**
   * Returns whether the limit would allow one more task of the job if nothing were in use on the
   * unreconciled machines.
   */
  boolean isWithinLimitIfReconciledWith(JobSpec job) {
    return isWithinLimitWith(job, launched.cpus, launched.gpus);
  }

  private boolean isWithinLimitWith(JobSpec job, double usedCpus, double usedGpus) {
    return (quota.maxCpus() <= 0 || usedCpus + job.cpus() <= quota.maxCpus() + Resources.EPSILON)
        && (quota.maxGpus() <= 0 || usedGpus + job.gpus() <= quota.maxGpus() + Resources.EPSILON);
  }

  /** Returns how many of a number of tasks of the job the CPU limit allows. */
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

  /**
   * Returns whether the team's share with one more task of the job is within its guarantee. False
   * if the team has no guarantee.
   */
  boolean isWithinGuaranteeWith(JobSpec job) {
    return (quota.guaranteedCpus() > 0 || quota.guaranteedGpus() > 0)
        && share.cpus + job.cpus() <= quota.guaranteedCpus() + Resources.EPSILON
        && share.gpus + job.gpus() <= quota.guaranteedGpus() + Resources.EPSILON;
  }

  /**
   * Returns whether the team's share would still meet its guarantee without one task of the job,
   * which must be a job of this team.
   */
  boolean isGuaranteeMetWithout(JobSpec job) {
    return !isBelowGuaranteeWithout(job.cpus(), job.gpus());
  }

  /**
   * Returns whether the team's share would be below its guarantee without the given resources,
   * which must be used by tasks of this team.
   */
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
   * Returns the fraction of its fair share that the team would use with one more task, up to a
   * factor that is the same for all teams.
   *
   * @param cost the cost of the task, see {@link SchedulingSettings#cost}
   */
  double fractionOfShareWith(double cost) {
    return (shareCost + cost) / weight;
  }
}
