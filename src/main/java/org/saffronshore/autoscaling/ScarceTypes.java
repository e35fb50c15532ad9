package org.saffronshore.autoscaling;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.MachineType;

/**
 * Machine types that the cloud has refused in every zone, as spot and as on-demand machines.
 *
 * @param names their names
 * @param highestPricePerCpu the highest hourly on-demand price of a CPU on them
 */
record ScarceTypes(Set<String> names, double highestPricePerCpu) {

  static ScarceTypes find(Map<String, MachineType> types, CapacityBackoff backoff) {
    Set<String> names = new HashSet<>();
    double highestPricePerCpu = 0;
    for (MachineType type : types.values()) {
      if (type.zones().stream().allMatch(zone -> isRefusedIn(zone, type, backoff))) {
        names.add(type.name());
        highestPricePerCpu = Math.max(highestPricePerCpu, type.pricePerHour() / type.cpus());
      }
    }
    return new ScarceTypes(names, highestPricePerCpu);
  }

  private static boolean isRefusedIn(String zone, MachineType type, CapacityBackoff backoff) {
    return backoff.wasRefused(new MachineKind(type.name(), zone, true))
        && backoff.wasRefused(new MachineKind(type.name(), zone, false));
  }

  boolean contains(String typeName) {
    return names.contains(typeName);
  }

  /** Whether a CPU on a machine of another type costs no more than one on the scarce machines. */
  boolean isWithinPriceLimit(MachineType other, boolean spot) {
    double pricePerHour = spot ? other.spotPricePerHour() : other.pricePerHour();
    return pricePerHour / other.cpus() <= highestPricePerCpu;
  }
}
