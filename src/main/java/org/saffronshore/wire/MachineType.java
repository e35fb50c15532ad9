package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A type of machine that the cloud rents out.
 *
 * @param cacheGb the capacity of a machine's image cache
 * @param imagePullGbPerS the rate at which a machine pulls an image
 * @param pricePerHour the price of an on-demand machine
 * @param spotPricePerHour the price of a spot machine, which varies over time
 * @param bootS seconds from the rental of a machine until it can run tasks
 * @param zones the zones in which the cloud offers this type
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double imagePullGbPerS,
    double pricePerHour,
    double spotPricePerHour,
    double bootS,
    List<String> zones) {

  /** The largest value of a numeric field. */
  private static final double MAX_NUMBER = 1e9;

  /**
   * Reads the cloud's list of machine types and returns them by name, in the order of the list.
   *
   * @throws InvalidFieldException if a field is missing or invalid; it names the field
   */
  public static Map<String, MachineType> parseAll(JsonNode body) throws InvalidFieldException {
    Map<String, MachineType> all = new LinkedHashMap<>();
    for (FieldReader fields : FieldReader.of(body, "").objects("Rigs")) {
      List<String> zones = fields.textsOrNull("Depots");
      MachineType type =
          new MachineType(
              fields.text("Label"),
              fields.number("Cores", 0, MAX_NUMBER),
              fields.number("Accelerators", 0, MAX_NUMBER, 0),
              fields.number("RamGb", 0, MAX_NUMBER),
              fields.number("CacheGb", 0, MAX_NUMBER, 0),
              fields.number("FetchGbPerS", 0, MAX_NUMBER, 0),
              fields.number("Hourly", 0, MAX_NUMBER),
              fields.number("LowPrice", 0, MAX_NUMBER, fields.number("Hourly", 0, MAX_NUMBER)),
              fields.number("BootS", 0, MAX_NUMBER),
              zones == null ? new ArrayList<>() : zones);
      all.put(type.name(), type);
    }
    return all;
  }

  /** Returns whether this type equals the other one in everything except prices. */
  public boolean equalsIgnoringPrices(@Nullable MachineType other) {
    return other != null
        && equals(
            new MachineType(
                other.name,
                other.cpus,
                other.gpus,
                other.memoryGb,
                other.cacheGb,
                other.imagePullGbPerS,
                pricePerHour,
                spotPricePerHour,
                other.bootS,
                other.zones));
  }

  /**
   * Returns whether a task of the job fits on an empty machine of this type and is allowed there.
   */
  public boolean fits(JobSpec job) {
    return cpus >= job.cpus()
        && gpus >= job.gpus()
        && memoryGb >= job.memoryGb()
        && (job.machineTypes() == null || job.machineTypes().contains(name))
        && (job.zone() == null || zones.contains(job.zone()));
  }
}
