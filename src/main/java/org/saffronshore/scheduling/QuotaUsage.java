package org.saffronshore.scheduling;

import java.util.Locale;

/**
 * What counts against a team's limit at one moment, as the leader knows it.
 *
 * @param team the team's name
 * @param cpus its CPUs
 * @param gpus its GPUs
 */
public record QuotaUsage(String team, Amounts cpus, Amounts gpus) {

  /**
   * Amounts of one resource.
   *
   * @param running of tasks that run or save a checkpoint
   * @param launched of all tasks that are on machines, on their way there, or placed in this cycle
   * @param possible of open jobs' tasks that may be on unreconciled machines
   * @param unattributed of tasks on such machines that belong to no open job, as far as is known;
   *     {@code possibly_held} in log lines and metrics
   * @param limit the most that the team may use; 0 for no limit
   */
  public record Amounts(
      double running, double launched, double possible, double unattributed, double limit) {
    /** All that is compared with the limit. */
    public double counted() {
      return launched + possible + unattributed;
    }
  }

  /** The fields of the log lines; their names do not change. GPUs only where there are any. */
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
