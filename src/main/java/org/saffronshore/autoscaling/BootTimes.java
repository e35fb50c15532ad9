package org.saffronshore.autoscaling;

import java.util.stream.DoubleStream;
import org.jspecify.annotations.Nullable;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/** How long machines take from the rental request until their worker is up, in seconds. */
final class BootTimes {
  private final Cluster cluster;

  /** What is assumed for a machine whose type is not known. */
  private final double defaultBootTimeS;

  BootTimes(Settings settings, Cluster cluster) {
    this.cluster = cluster;
    this.defaultBootTimeS = settings.workerLeaseS();
  }

  /** The boot time of a type; null is a type that is not known, as is one that is not listed. */
  double ofTypeS(@Nullable String typeName) {
    MachineType type = typeName == null ? null : cluster.machineTypes().get(typeName);
    return type == null ? defaultBootTimeS : type.bootS();
  }

  /** The longest boot time of all types. */
  double longestS() {
    return allBootTimesS().max().orElse(defaultBootTimeS);
  }

  /** The shortest boot time of all types; 0 when no type is known. */
  double shortestS() {
    return allBootTimesS().min().orElse(0);
  }

  /** The shortest boot time of the types on which the job's tasks fit; 0 when there is none. */
  double shortestForS(JobSpec job) {
    return cluster.machineTypes().values().stream()
        .filter(type -> type.fits(job))
        .mapToDouble(MachineType::bootS)
        .min()
        .orElse(0);
  }

  private DoubleStream allBootTimesS() {
    return cluster.machineTypes().values().stream().mapToDouble(MachineType::bootS);
  }
}
