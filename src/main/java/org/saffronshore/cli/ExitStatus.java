package org.saffronshore.cli;

/**
 * The exit statuses of the controller command, beside those of picocli for its usage. The values of
 * failures are those of sysexits.h.
 */
enum ExitStatus {
  /** No exit: the command has returned, and the event loop goes on. */
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
