package org.saffronshore.cli;

import java.util.Locale;
import java.util.Set;

/**
 * Sets logging up before the first logger is made: to standard error, at the level that the
 * platform names.
 */
final class Logging {
  private static final Set<String> LEVELS = Set.of("error", "warn", "info", "debug", "trace");

  private Logging() {}

  static void setUp(String level) {
    String wanted = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    System.setProperty("org.slf4j.simpleLogger.logFile", "System.err");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "info");
    System.setProperty(
        "org.slf4j.simpleLogger.log.org.saffronshore", LEVELS.contains(wanted) ? wanted : "info");
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }
}
