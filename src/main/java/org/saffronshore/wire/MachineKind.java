package org.saffronshore.wire;

/**
 * The kind of machine that a rental request asks for: machine type, zone, and spot or on-demand.
 */
public record MachineKind(String type, String zone, boolean spot) {
  /** Returns whether the job's constraints allow machines of this kind. */
  public boolean isAllowedFor(JobSpec job) {
    return (!spot || job.spot())
        && (job.machineTypes() == null || job.machineTypes().contains(type))
        && (job.zone() == null || job.zone().equals(zone));
  }

  @Override
  public String toString() {
    return (spot ? "spot " : "on-demand ") + type + " in " + zone;
  }
}
