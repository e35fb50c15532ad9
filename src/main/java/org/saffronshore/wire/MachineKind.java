package org.saffronshore.wire;

/** What a rental request names: a machine type, a zone, and whether it is a spot machine. */
public record MachineKind(String type, String zone, boolean spot) {
  /** Whether the job may use machines of this kind. */
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
