package org.saffronshore.state;

/**
 * The keys of the state service. Each key belongs to one of the constants in this class, whose
 * comment states who writes the key, who reads it, and the form of its values. Every write that is
 * reserved to the leader has a condition on {@link #LEADER} in the same transaction, so that no
 * former leader can make it.
 */
public final class Keys {
  /**
   * Open jobs, by job id. Every controller writes these when it accepts a job, and reads them for
   * users; the leader reads and watches all of them. Deleted when the job gets its outcome. Form:
   * {@link JobRecord}.
   */
  public static final String OPEN_JOBS = "j/";

  /**
   * Outcomes of jobs, by job id; never changed or deleted. The leader writes those of completed
   * jobs and of jobs that are cancelled along with a dependency, and every controller writes those
   * of jobs that users cancel; every controller reads them. Form: {@link JobOutcome}.
   */
  public static final String JOB_OUTCOMES = "f/";

  /**
   * Pages of finished tasks of open jobs, by page number. The leader writes these, the next leader
   * reads them. Form: an object with an entry per chunk of a job's tasks, named {@code
   * <job>/<chunk>}, whose value is a bit set in Base64.
   */
  public static final String FINISHED_TASKS = "p/";

  /**
   * Pages like those of {@link #FINISHED_TASKS}, for jobs so large that chunks of the standard
   * length do not fit into a value; earlier versions do not read these. Form: as for {@link
   * #FINISHED_TASKS}, but an entry's value is an object with the bit set, {@code Bits}, and the
   * length of a chunk, {@code Piece}.
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
   * The leader. The key is attached to the leader's lease in the state service, so that it exists
   * as long as a controller leads. A candidate writes it when it is elected; every controller reads
   * and watches it. Form: {@link LeaderRecord}.
   */
  public static final String LEADER = "l/leader";

  /**
   * The last fencing token that is reserved for the last term, and its leader. Unlike {@link
   * #LEADER}, the key outlives the leader's lease. Candidates read it, and write the number of the
   * next term, which is the term's first token, together with {@link #LEADER}; the leader writes it
   * to reserve more tokens. Form: {@link LeaderRecord}.
   */
  public static final String TERM = "t/term";

  /**
   * The request of a candidate that asks for votes through the state service, when the controllers
   * cannot reach one another. Candidates write and read it. Form: {@link VoteRequest}.
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
   * Settings that operators change at run time. Every controller writes and reads them for
   * operators, and the leader reads them. Form: {@code admin.OperatorSettings}.
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

  /**
   * Returns the id of the job or machine that a key refers to. The name of an entry of a page,
   * preceded by the prefix of the page, is accepted as a key.
   */
  public static String idOf(String key) {
    int start = key.indexOf('/') + 1;
    int end = key.indexOf('/', start);
    return end < 0 ? key.substring(start) : key.substring(start, end);
  }
}
