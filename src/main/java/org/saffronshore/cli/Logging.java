package org.saffronshore.cli;

import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The set-up of logging, to standard error, at the level that the environment specifies. */
final class Logging {
  private static final String PROPERTY_PREFIX = "org.slf4j.simpleLogger.";
  private static final String DEFAULT_LEVEL = "info";
  private static final Set<String> LEVELS = Set.of("error", "warn", "info", "debug", "trace");

  private Logging() {}

  /**
   * Sets up logging. Must be called before the first logger is created.
   *
   * @param levelName the level of this program's loggers, in upper or lower case; if it is null or
   *     unknown, the default level is used
   */
  static void setUp(@Nullable String levelName) {
    String level = levelName == null ? DEFAULT_LEVEL : levelName.toLowerCase(Locale.ROOT);
    set("logFile", "System.err");
    set("defaultLogLevel", DEFAULT_LEVEL);
    set("log.org.saffronshore", LEVELS.contains(level) ? level : DEFAULT_LEVEL);
    set("log.io.netty", "error");
    set("showDateTime", "true");
    set("dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX");
    set("showThreadName", "false");
    set("showShortLogName", "true");
  }

  private static void set(String property, String value) {
    System.setProperty(PROPERTY_PREFIX + property, value);
  }
}
