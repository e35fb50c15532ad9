package org.saffronshore.autoscaling;

import java.util.stream.DoubleStream;
import org.jspecify.annotations.Nullable;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/** The boot times of machines: the seconds from the rental request until the worker is up. */
final class BootTimes {
  private final Cluster cluster;

  /** The boot time that is assumed for machines of an unknown type. */
  private final double defaultBootTimeS;

  BootTimes(Settings settings, Cluster cluster) {
    this.cluster = cluster;
    this.defaultBootTimeS = settings.workerLeaseS();
  }

  /**
   * Returns the boot time of a machine type. A default applies if the name is null or the cloud
   * does not list the type.
   */
  double ofTypeS(@Nullable String typeName) {
    MachineType type = typeName == null ? null : cluster.machineTypes().get(typeName);
    return type == null ? defaultBootTimeS : type.bootS();
  }

  /** Returns the longest boot time of all types; the default if no type is known. */
  double longestS() {
    return allBootTimesS().max().orElse(defaultBootTimeS);
  }

  /** Returns the shortest boot time of all types; 0 if no type is known. */
  double shortestS() {
    return allBootTimesS().min().orElse(0);
  }

  /** Returns the shortest boot time of the types that fit the job's tasks; 0 if there is none. */
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
