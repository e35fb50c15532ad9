package org.saffronshore.state;

/**
 * The keys of the state service. Each key belongs to one of the constants here, which says who
 * writes it, who reads it, and which form its values have. What the leader alone writes has a
 * condition on {@link #LEADER} in the same transaction, so that no former leader can change it.
 */
public final class Keys {
  /**
   * Open jobs, by job id. Every controller writes these when it accepts a job, and reads them for
   * users; the leader reads and watches all of them. Deleted when the job gets its outcome. Form:
   * {@link JobRecord}.
   */
  public static final String OPEN_JOBS = "j/";

  /**
   * How jobs ended, by job id; never changed or deleted. The leader writes these of completed jobs
   * and of jobs that are cancelled with a dependency, every controller when a user cancels a job;
   * every controller reads them. Form: {@link JobOutcome}.
   */
  public static final String JOB_OUTCOMES = "f/";

  /**
   * Pages of finished tasks of open jobs, by page number. The leader writes these, the next leader
   * reads them. Form: an object with an entry per chunk of a job's tasks, named {@code
   * <job>/<chunk>}, whose value is a bit set in Base64.
   */
  public static final String FINISHED_TASKS = "p/";

  /**
   * Pages like those of {@link #FINISHED_TASKS}, of jobs so large that chunks of the usual length
   * do not fit into a value; earlier versions do not read these. Form: as there, but an entry's
   * value is an object with the bit set, {@code Bits}, and the length of a chunk, {@code Piece}.
   */
  public static final String FINISHED_TASKS_SHORT_CHUNKS = "q/";

  /**
   * Pages of launch watermarks of open jobs, by page number. The leader writes these before it
   * launches, the next leader reads them. Form: an object with an entry per job, whose value is a
   * number of tasks.
   */
  public static final String LAUNCH_WATERMARKS = "b/";

  /**
   * Pages of machines that may hold tasks, by page number. The leader writes these, the next leader
   * reads them. Form: an object with an entry per machine, whose value is an object with the time
   * of day, {@code At}, and the possible tasks, {@code Held}.
   */
  public static final String MACHINE_REGISTRY = "r/";

  /**
   * The leader, attached to its store lease: the key exists as long as a controller leads. A
   * candidate writes it when it is elected; every controller reads and watches it. Form: {@link
   * LeaderRecord}.
   */
  public static final String LEADER = "l/leader";

  /**
   * The last term and its leader, which outlives the lease. Written together with {@link #LEADER};
   * candidates read it. Form: {@link LeaderRecord}.
   */
  public static final String TERM = "t/term";

  /**
   * The request of a candidate that asks for votes through the state service, when the controllers
   * do not reach one another. Candidates write and read it. Form: {@link VoteRequest}.
   */
  public static final String VOTE_REQUEST = "e/call";

  /**
   * The votes for {@link #VOTE_REQUEST}, by the voting controller. Candidates write and read these.
   * Form: {@link Vote}.
   */
  public static final String VOTES = "e/v/";

  /**
   * The cloud's machine types as they were last read, for a controller that starts while the cloud
   * does not respond. The leader writes it, every controller reads it when it starts. Form: the
   * cloud's own response, as {@code wire.MachineType} reads it.
   */
  public static final String MACHINE_TYPES = "m/types";

  /**
   * What operators set at run time. Every controller writes and reads it for operators; the leader
   * reads it. Form: {@code admin.OperatorSettings}.
   */
  public static final String OPERATOR_SETTINGS = "o/settings";

  private Keys() {}

  public static String openJob(String id) {
    return OPEN_JOBS + id;
  }

  public static String jobOutcome(String id) {
    return JOB_OUTCOMES + id;
  }

  public static String vote(String controller) {
    return VOTES + controller;
  }

  /** The job or machine that a key, or the name of a page's entry after its prefix, is about. */
  public static String idOf(String key) {
    int start = key.indexOf('/') + 1;
    int end = key.indexOf('/', start);
    return end < 0 ? key.substring(start) : key.substring(start, end);
  }
}
