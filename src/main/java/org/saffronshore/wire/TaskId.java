package org.saffronshore.wire;

/**
 * The id of one task of a job, written as {@code wk-000412/3}.
 *
 * @param job the job's id
 * @param index the task's index in its job, from 0
 */
public record TaskId(String job, int index) {

  /**
   * Parses the form that {@link #toString} returns.
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
      // Reported below, with the same message as any other malformed text.
    }
    throw new InvalidFieldException("Leg", "must have the form wk-000412/3");
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
