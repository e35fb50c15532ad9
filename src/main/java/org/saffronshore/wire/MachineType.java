package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A kind of machine that the cloud rents out. Prices are per hour. */
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

  /** Reads the cloud's answer to a question for its machine types. */
  public static Map<String, MachineType> parseAll(JsonNode body) throws InvalidFieldException {
    Map<String, MachineType> all = new LinkedHashMap<>();
    double most = 1e9;
    for (FieldReader f : FieldReader.of(body, "").objects("Rigs")) {
      List<String> zones = f.textsOrNull("Depots");
      MachineType type =
          new MachineType(
              f.text("Label"),
              f.number("Cores", 0, most),
              f.number("Accelerators", 0, most, 0),
              f.number("RamGb", 0, most),
              f.number("CacheGb", 0, most, 0),
              f.number("FetchGbPerS", 0, most, 0),
              f.number("Hourly", 0, most),
              f.number("LowPrice", 0, most, f.number("Hourly", 0, most)),
              f.number("BootS", 0, most),
              zones == null ? new ArrayList<>() : zones);
      all.put(type.name(), type);
    }
    return all;
  }

  /** Whether it differs from another in nothing but the price that moves. */
  public boolean equalsIgnoringPrices(MachineType other) {
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

  /** Whether a task fits on an empty machine that the job allows. */
  public boolean fits(JobSpec job) {
    return cpus >= job.cpus()
        && gpus >= job.gpus()
        && memoryGb >= job.memoryGb()
        && (job.machineTypes() == null || job.machineTypes().contains(name))
        && (job.zone() == null || zones.contains(job.zone()));
  }
}
