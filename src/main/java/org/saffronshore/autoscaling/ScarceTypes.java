package org.saffronshore.autoscaling;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.MachineType;

/**
 * The scarce machine types: those that the cloud has refused in every zone, both as spot and as
 * on-demand machines.
 *
 * @param names the names of the types
 * @param highestPricePerCpu the highest hourly on-demand price per CPU of these types
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

  /**
   * Returns whether a machine of another type costs no more per CPU than an on-demand machine of
   * the most expensive scarce type.
   *
   * @param spot whether to compare the spot price of the other type or its on-demand price
   */
  boolean isWithinPriceLimit(MachineType other, boolean spot) {
    double pricePerHour = spot ? other.spotPricePerHour() : other.pricePerHour();
    return pricePerHour / other.cpus() <= highestPricePerCpu;
  }
}
