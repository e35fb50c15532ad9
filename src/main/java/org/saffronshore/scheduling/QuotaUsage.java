package org.saffronshore.scheduling;

import java.util.Locale;

/**
 * The resources that count against a team's limit at one moment, as known to the leader.
 *
 * @param team the team's name
 * @param cpus the amounts of CPUs
 * @param gpus the amounts of GPUs
 */
public record QuotaUsage(String team, Amounts cpus, Amounts gpus) {

  /**
   * The amounts of one resource.
   *
   * @param running used by tasks that are running or saving a checkpoint
   * @param launched used by all tasks that are on machines, are being launched, or were placed in
   *     this cycle
   * @param possible used by tasks of open jobs that may be on unreconciled machines
   * @param unattributed used by tasks that may be on unreconciled machines and are not known to
   *     belong to an open job; named {@code possibly_held} in log lines and metrics
   * @param limit the maximum that the team may use; 0 for no limit
   */
  public record Amounts(
      double running, double launched, double possible, double unattributed, double limit) {
    /** Returns the total that is compared with the limit. */
    public double counted() {
      return launched + possible + unattributed;
    }
  }

  /**
   * Returns the fields for log lines, whose names are stable. The fields for GPUs are included only
   * if the team has a GPU limit or uses GPUs.
   */
  @Override
  public String toString() {
    String text = "team=" + team + fields("cpus", cpus);
    return gpus.limit() > 0 || gpus.counted() > 0 ? text + fields("gpus", gpus) : text;
  }

  private static String fields(String resource, Amounts amounts) {
    return String.format(
        Locale.ROOT,
        " running_%1$s=%2$.1f launched_%1$s=%3$.1f possible_%1$s=%4$.1f"
            + " possibly_held_%1$s=%5$.1f limit_%1$s=%6$.1f",
        resource,
        amounts.running(),
        amounts.launched(),
        amounts.possible(),
        amounts.unattributed(),
        amounts.limit());
  }
}
