package org.saffronshore.wire;

/** One task of a job, written {@code wk-000412/3}. */
public record TaskId(String job, int index) {

  /** Reads the form job/index. */
  public static TaskId parse(String text) throws InvalidFieldException {
    int slash = text.indexOf('/');
    try {
      if (slash > 0) {
        int index = Integer.parseInt(text.substring(slash + 1));
        if (index >= 0 && index < JobSpec.MAX_TASKS) {
          return new TaskId(text.substring(0, slash), index);
        }
      }
    } catch (NumberFormatException e) {
      // Falls through to the one message for every ill-formed name.
    }
    throw new InvalidFieldException("Leg", "must have the form wk-000412/3");
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
