package org.saffronshore.wire;

/**
 * One task of a job, written {@code wk-000412/3}.
 *
 * @param job the job's id
 * @param index the task's number in its job, from 0
 */
public record TaskId(String job, int index) {

  /**
   * Reads the form that {@link #toString} writes.
   *
   * @throws InvalidFieldException if the text does not have that form
   */
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
      // Any text of another form gets the same message.
    }
    throw new InvalidFieldException("Leg", "must have the form wk-000412/3");
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
