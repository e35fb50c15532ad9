package org.saffronshore.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;

/** A team's guaranteed and maximum CPUs and GPUs; a maximum of 0 means that there is no limit. */
public record TeamQuota(
    String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {

  /** Returns the teams by name, in the order of the settings file. */
  static Map<String, TeamQuota> parseAll(List<FieldReader> entries) throws InvalidFieldException {
    Map<String, TeamQuota> teams = new LinkedHashMap<>();
    for (FieldReader entry : entries) {
      TeamQuota team =
          new TeamQuota(
              entry.text("name"),
              entry.number("cpus", 0, Settings.MAX_NUMBER, 0),
              entry.number("cpus_max", 0, Settings.MAX_NUMBER, 0),
              entry.number("gpus", 0, Settings.MAX_NUMBER, 0),
              entry.number("gpus_max", 0, Settings.MAX_NUMBER, 0));
      if (teams.put(team.name(), team) != null) {
        throw new InvalidFieldException(
            entry.path() + ".name",
            "must be unique, but \"" + team.name() + "\" is the name of an earlier team");
      }
    }
    return teams;
  }
}
