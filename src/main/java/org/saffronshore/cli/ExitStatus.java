package org.saffronshore.cli;

/**
 * The exit statuses of the controller command, in addition to picocli's statuses for success and
 * usage errors. Failures have the values that sysexits.h defines.
 */
enum ExitStatus {
  /** Not an exit status: the command has returned, and the controller keeps running. */
  RUNNING(-1),
  /** EX_UNAVAILABLE: the controller cannot serve on its addresses. */
  CANNOT_SERVE(69),
  /** EX_CONFIG: the settings file cannot be read or is not valid. */
  INVALID_SETTINGS(78);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
