package org.saffronshore.state;

/** Where things are kept in the state service. */
public final class Keys {
  /** Jobs that are accepted and not over. */
  public static final String JOBS = "j/";

  /** How jobs ended; these are never changed or removed. */
  public static final String FINALS = "f/";

  /** Pages of finished tasks of jobs that are not over. */
  public static final String PROGRESS = "p/";

  /**
   * The same of jobs so large that their pieces do not fit into short values; earlier versions do
   * not read these.
   */
  public static final String SHORT_PROGRESS = "q/";

  /** Pages of how far the tasks of each open job may have been launched. */
  public static final String LAUNCH_MARKS = "b/";

  /** Pages of machines that may hold tasks. */
  public static final String REGISTRY = "r/";

  public static final String LEADER = "l/leader";
  public static final String TERM = "t/term";

  /** Who asks for time to lead, and who gave it, when controllers do not reach one another. */
  public static final String CALL = "e/call";

  public static final String VOTES = "e/v/";

  /**
   * The cloud's machine types as they were last seen, for a node that starts while the cloud is
   * away.
   */
  public static final String TYPES = "m/types";

  public static final String OPERATOR = "o/settings";

  private Keys() {}

  public static String job(String id) {
    return JOBS + id;
  }

  public static String end(String id) {
    return FINALS + id;
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
