package org.saffronshore.config;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;

/**
 * A service level objective, such as that most jobs of a class start within some time.
 *
 * @param kind the kind of objective, as named in the settings file
 * @param jobClass the class of jobs that the objective applies to; null if it applies to all
 * @param share the share of jobs that must meet the objective, from 0 to 1
 * @param factor the maximum ratio to a reference value, for an objective that compares with a
 *     reference
 * @param withinS the time limit in seconds, for an objective with a time limit
 */
public record Objective(
    String kind, @Nullable String jobClass, double share, double factor, double withinS) {

  static List<Objective> parseAll(List<FieldReader> entries) throws InvalidFieldException {
    List<Objective> objectives = new ArrayList<>();
    for (FieldReader entry : entries) {
      objectives.add(
          new Objective(
              entry.text("kind"),
              entry.textOrNull("class"),
              entry.number("share", 0, 1, 0),
              entry.number("times", 0, Settings.MAX_NUMBER, 1),
              entry.number("within_s", 0, Settings.MAX_NUMBER, 0)));
    }
    return List.copyOf(objectives);
  }
}
