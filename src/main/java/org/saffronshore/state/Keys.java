package org.saffronshore.state;

/** Where things are kept in the state service. */
public final class Keys {
  /** Jobs that are accepted and not over. */
  public static final String OPEN_JOBS = "j/";

  /** How jobs ended; these are never changed or removed. */
  public static final String JOB_OUTCOMES = "f/";

  /** Pages of finished tasks of jobs that are not over. */
  public static final String FINISHED_TASKS = "p/";

  /**
   * The same of jobs so large that their pieces do not fit into short values; earlier versions do
   * not read these.
   */
  public static final String FINISHED_TASKS_SHORT_CHUNKS = "q/";

  /** Pages of how far the tasks of each open job may have been launched. */
  public static final String LAUNCH_WATERMARKS = "b/";

  /** Pages of machines that may hold tasks. */
  public static final String MACHINE_REGISTRY = "r/";

  public static final String LEADER = "l/leader";
  public static final String TERM = "t/term";

  /** Who asks for time to lead, and who gave it, when controllers do not reach one another. */
  public static final String VOTE_REQUEST = "e/call";

  public static final String VOTES = "e/v/";

  /**
   * The cloud's machine types as they were last seen, for a node that starts while the cloud is
   * away.
   */
  public static final String MACHINE_TYPES = "m/types";

  public static final String OPERATOR_SETTINGS = "o/settings";

  private Keys() {}

  public static String openJob(String id) {
    return OPEN_JOBS + id;
  }

  public static String jobOutcome(String id) {
    return JOB_OUTCOMES + id;
  }

  public static String vote(String node) {
    return VOTES + node;
  }

  /** The job or machine that a key or an entry's name is about. */
  public static String idOf(String key) {
    int from = key.indexOf('/') + 1;
    int to = key.indexOf('/', from);
    return to < 0 ? key.substring(from) : key.substring(from, to);
  }
}
