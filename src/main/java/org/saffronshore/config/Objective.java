package org.saffronshore.config;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;

/**
 * A service level objective of the users, such as that most jobs of a class start in time.
 *
 * @param kind what it is about, as the settings file names it
 * @param jobClass the class of jobs that it concerns; null where it concerns every class
 * @param share the share of jobs that has to meet it, from 0 to 1
 * @param factor the factor that it allows, where it compares with a reference
 * @param withinS the time that it allows, in seconds, where it is about a time
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
