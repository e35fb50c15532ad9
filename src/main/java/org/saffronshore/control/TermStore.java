package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.state.CommitResult;
import org.saffronshore.state.JobOutcome;
import org.saffronshore.state.JobStatus;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.Keys;
import org.saffronshore.state.Listing;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a term writes down for the next one: which jobs are done, which tasks of the others are
 * finished, and which machines may hold tasks. Every write is guarded by the leader's key.
 */
final class TermStore {
  private static final Logger LOG = LoggerFactory.getLogger(TermStore.class);

  /**
   * Finished tasks are kept in pieces, so that an entry stays below what the state service takes.
   */
  private static final int PIECE = 32_768;

  /**
   * Pages are filled to about this length, or to a share of the longest value where that is short.
   */
  private static final int PAGE_BYTES = 4096;

  private static final double FILLED = 0.6;

  /** They may grow to this share of it. */
  private static final double GROWN = 0.9;

  /** What an entry of finished tasks takes beside its bits. */
  private static final int NAME_BYTES = 64;

  /**
   * Launches may wait for a write so many times in a report interval; each spends the budget of all
   * nodes.
   */
  private static final double LAUNCH_MARK_WRITES = 40;

  /** A transaction may be 64 KiB long; this leaves room for its guards. */
  private static final int MAX_TXN_BYTES = 40 * 1024;

  private final EventLoop loop;
  private final Settings settings;
  private final StateClient state;
  private final JobStore store;
  private final Leadership leadership;
  private final Leader leader;
  private final Cluster cluster;
  private final PagedRecords progress;

  /**
   * Where values are too short for pieces of the usual length, the pieces of the largest jobs; and
   * their length.
   */
  private final PagedRecords shortProgress;

  private final int shortPiece;
  private final PagedRecords registry;
  private final PagedRecords launchMark;
  private boolean progressBusy;
  private boolean shortFirst;
  private boolean registryWriteInFlight;
  private boolean launchMarksBusy;
  private double launchMarksRetryAt = Double.NEGATIVE_INFINITY;
  private double finishAgainAt = Double.NEGATIVE_INFINITY;
  private double registryRetryAt = Double.NEGATIVE_INFINITY;

  TermStore(Controller node, Leader leader, Cluster cluster) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.state = node.state();
    this.store = node.store();
    this.leadership = node.leadership();
    this.leader = leader;
    this.cluster = cluster;
    int fill = (int) Math.min(PAGE_BYTES, settings.maxValueKb() * 1024 * FILLED);
    int most = (int) (settings.maxValueKb() * 1024 * GROWN);
    int shortPiece = PIECE;
    while (shortPiece > Byte.SIZE && shortPiece / 6 + NAME_BYTES > most) {
      shortPiece /= 2;
    }
    this.shortPiece = shortPiece;
    this.shortProgress = new PagedRecords(Keys.FINISHED_TASKS_SHORT_CHUNKS, fill, most);
    this.progress = new PagedRecords(Keys.FINISHED_TASKS, fill, most);
    this.registry = new PagedRecords(Keys.MACHINE_REGISTRY, fill, most);
    this.launchMark = new PagedRecords(Keys.LAUNCH_WATERMARKS, fill, most);
  }

  // What earlier terms wrote

  /** The finished tasks of each job. */
  Map<String, BitSet> readFinishedTasks(Listing stored) {
    Map<String, BitSet> done = new HashMap<>();
    progress.read(stored.entries(), (name, value) -> finished(done, name, value, PIECE));
    return done;
  }

  /** The same of jobs that have shorter pieces. */
  void readFinishedTasksInShortChunks(Listing stored, Map<String, BitSet> done) {
    shortProgress.read(
        stored.entries(),
        (name, value) ->
            finished(
                done, name, value.path("Bits"), (int) Json.integer(value, "Piece", shortPiece)));
  }

  private static void finished(
      Map<String, BitSet> done, String name, JsonNode value, int pieceLength) {
    try {
      int piece = Integer.parseInt(name.substring(name.lastIndexOf('/') + 1));
      BitSet read = BitSet.valueOf(value.binaryValue());
      BitSet bits = done.computeIfAbsent(Keys.idOf(Keys.FINISHED_TASKS + name), j -> new BitSet());
      read.stream().forEach(i -> bits.set(piece * pieceLength + i));
    } catch (IOException | RuntimeException e) {
      // The tasks run again; one whose result is kept ends at once when it is started again.
      LOG.error("the record of finished tasks {} cannot be read", name, e);
    }
  }

  /** How far each job's tasks may have been launched. */
  Map<String, Integer> readLaunchWatermarks(Listing stored) {
    Map<String, Integer> all = new HashMap<>();
    launchMark.read(
        stored.entries(), (job, value) -> all.merge(job, launchMark(job, value), Math::max));
    return all;
  }

  /** One that cannot be read proves nothing: every task may have been launched. */
  private static int launchMark(String job, JsonNode value) {
    if (value.canConvertToInt()) {
      return Math.max(0, value.intValue());
    }
    LOG.error("the launch mark of {} cannot be read: {}", job, value);
    return JobSpec.MAX_TASKS;
  }

  /**
   * Tells the cluster of all machines that may hold tasks, and forgets the progress of jobs that
   * are over.
   */
  void begin(Listing storedRegistry) {
    Set<String> seen = new HashSet<>();
    registry.read(
        storedRegistry.entries(),
        (machine, entry) -> {
          // While a page is split an entry may stand twice, and nothing tells which is the newer
          // one.
          boolean once = seen.add(machine);
          double ageS =
              (loop.wallClockMs() - Json.integer(entry, "At", Long.MAX_VALUE / 2)) / 1000.0;
          cluster.addRegistered(
              machine,
              ageS - 2 * settings.maxClockOffsetS(),
              once ? held(entry.get("Held")) : null);
        });
    for (String job : new ArrayList<>(launchMark.names())) {
      if (cluster.job(job) == null) {
        launchMark.remove(job);
      }
    }
    for (PagedRecords pages : List.of(progress, shortProgress)) {
      for (String name : new ArrayList<>(pages.names())) {
        if (cluster.job(Keys.idOf(Keys.FINISHED_TASKS + name)) == null) {
          pages.remove(name);
        }
      }
    }
  }

  /** All that the machine can hold, or null when that may be anything. */
  private static Set<TaskId> held(JsonNode tasks) {
    if (tasks == null || !tasks.isArray()) {
      return null;
    }
    Set<TaskId> held = new HashSet<>();
    for (JsonNode task : tasks) {
      try {
        held.add(TaskId.parse(task.asText()));
      } catch (InvalidFieldException e) {
        LOG.error("a record of what a machine holds cannot be read: {}", e.getMessage());
        return null;
      }
    }
    return held;
  }

  // Writing

  private Transaction guarded() {
    return new Transaction().expectVersion(Keys.LEADER, leadership.leaderKeyVersion());
  }

  /** Whether the guard on the leader's key held; if not, this node steps down. */
  private boolean stillLeading(CommitResult refusal) {
    boolean leads = !refusal.conflictingKeys().contains(Keys.LEADER);
    if (!leads) {
      leadership.stepDown("its key is gone");
    }
    return leads;
  }

  /** The job is over: its finished tasks need not be kept any more. */
  void remove(String job) {
    launchMark.remove(job);
    for (int piece = 0; piece * PIECE < JobSpec.MAX_TASKS; piece++) {
      progress.remove(name(job, piece));
    }
    if (shortPiece < PIECE) {
      shortProgress.names().stream()
          .filter(name -> name.startsWith(job + "/"))
          .toList()
          .forEach(shortProgress::remove);
    }
  }

  private static String name(String job, int piece) {
    return job + "/" + piece;
  }

  /** Commits that jobs are done, before any user is told so. */
  void saveCompletedJobs() {
    if (cluster.completedJobs().isEmpty() || loop.now() < finishAgainAt) {
      return;
    }
    for (Job job : new ArrayList<>(cluster.completedJobs())) {
      if (!job.outcomeWriteInFlight()) {
        saveCompletedJobs(job);
      }
    }
  }

  private void saveCompletedJobs(Job job) {
    String id = job.spec().id();
    long endedMs = loop.wallClockMs();
    Transaction txn = new JobOutcome(JobStatus.DONE, endedMs).addTo(guarded(), id, job.version());
    job.outcomeWriteInFlight(true);
    state.commit(
        txn,
        RequestPriority.VITAL,
        answer -> {
          job.outcomeWriteInFlight(false);
          if (leader.term().hasEnded()) {
            return;
          }
          if (answer.isCommitted()) {
            LOG.debug("job {} is done", id);
            store.recordOutcome(id, JobStatus.DONE);
            cluster.jobEnded(id, true, endedMs);
            leader.removeJob(id);
            leader.runDueWork();
            return;
          }
          // Its user cancelled it, or an earlier try of ours came through, which the watch will
          // tell; or the
          // service is away, and to ask it again with every report would only add to its trouble.
          if (!answer.isConflict() || stillLeading(answer)) {
            finishAgainAt = loop.now() + settings.heartbeatIntervalS() / 6;
          }
        });
  }

  /** Writes that a job is cancelled with one that it needs: users are told so already. */
  void saveCancelled(Job job, Runnable then) {
    String id = job.spec().id();
    Transaction txn =
        new JobOutcome(JobStatus.CANCELLED, loop.wallClockMs()).addTo(guarded(), id, job.version());
    state.commit(
        txn,
        RequestPriority.NORMAL,
        answer -> {
          if (leader.term().hasEnded()) {
            return;
          }
          if (answer.isCommitted()) {
            store.recordOutcome(id, JobStatus.CANCELLED);
          } else if (answer.isConflict()) {
            stillLeading(answer);
          }
          then.run();
        });
  }

  /** Keeps which tasks are finished, so that a change of leader does not run them again. */
  void saveFinishedTasks() {
    if (progressBusy) {
      return;
    }
    Map<Job, BitSet> saving = new LinkedHashMap<>();
    Map<Job, Set<String>> entries = new HashMap<>();
    for (Job job : cluster.jobsWithUnsavedTasks()) {
      if (!job.isComplete()) {
        BitSet now = (BitSet) job.finishedTasks().clone();
        saving.put(job, now);
        entries.put(job, enter(job, now));
      }
    }
    Transaction txn = guarded();
    // In turns, should both have something to write.
    shortFirst = !shortFirst;
    PagedRecords.Batch first =
        (shortFirst ? shortProgress : progress)
            .addTo(txn, settings.maxTransactionWrites(), MAX_TXN_BYTES);
    PagedRecords.Batch batch =
        first.isEmpty()
            ? (shortFirst ? progress : shortProgress)
                .addTo(txn, settings.maxTransactionWrites(), MAX_TXN_BYTES)
            : first;
    if (batch.isEmpty()) {
      return;
    }
    saving.keySet().removeIf(job -> !entries.get(job).stream().allMatch(batch::holds));
    progressBusy = true;
    write(
        txn,
        batch,
        written -> {
          progressBusy = false;
          if (written) {
            saving.forEach(cluster::finishedTasksSaved);
          }
        });
  }

  /** Writes pages, and tells whether that was carried out for as long as this term lasts. */
  private void write(Transaction txn, PagedRecords.Batch batch, Consumer<Boolean> then) {
    state.commit(
        txn,
        RequestPriority.VITAL,
        answer -> {
          boolean written = batch.written(state, answer);
          if (leader.term().hasEnded()) {
            return;
          }
          then.accept(written);
          if (!written && answer.isConflict()) {
            stillLeading(answer);
          }
        });
  }

  /** Puts the finished tasks of a job where they are new; the names of what changed. */
  private Set<String> enter(Job job, BitSet now) {
    Set<String> names = new LinkedHashSet<>();
    BitSet news = (BitSet) now.clone();
    news.andNot(job.savedFinishedTasks());
    // Pieces of the usual length are what earlier versions read; of all but the largest jobs one
    // holds all.
    boolean shorter = shortPiece < PIECE && job.spec().tasks() > shortPiece;
    int length = shorter ? shortPiece : PIECE;
    for (int i = news.nextSetBit(0); i >= 0; i = news.nextSetBit((i / length + 1) * length)) {
      int piece = i / length;
      String name = name(job.spec().id(), piece);
      String bits =
          Base64.getEncoder()
              .encodeToString(now.get(piece * length, (piece + 1) * length).toByteArray());
      if (shorter) {
        shortProgress.put(name, Json.object().put("Bits", bits).put("Piece", length));
      } else {
        progress.put(name, TextNode.valueOf(bits));
      }
      names.add(name);
    }
    return names;
  }

  /**
   * A task is launched only once the state service knows that tasks of its job up to it may have
   * been. So a next leader that cannot find some machines still knows which tasks cannot be there.
   * A job is written down with its first tasks, and then for twice as many each time.
   */
  void saveLaunchWatermarks() {
    double now = loop.now();
    if (launchMarksBusy
        || now < launchMarksRetryAt
        || cluster.jobsAwaitingLaunchWatermark().isEmpty()) {
      return;
    }
    Map<Job, Integer> wanted = new LinkedHashMap<>();
    for (Job job : cluster.jobsAwaitingLaunchWatermark()) {
      wanted.put(job, job.requestedLaunchWatermark());
      launchMark.put(job.spec().id(), IntNode.valueOf(job.requestedLaunchWatermark()));
    }
    Transaction txn = guarded();
    PagedRecords.Batch batch =
        launchMark.addTo(txn, settings.maxTransactionWrites(), MAX_TXN_BYTES);
    if (batch.isEmpty()) {
      return;
    }
    wanted.keySet().removeIf(job -> !batch.holds(job.spec().id()));
    launchMarksBusy = true;
    launchMarksRetryAt = now + settings.heartbeatIntervalS() / LAUNCH_MARK_WRITES;
    write(
        txn,
        batch,
        written -> {
          launchMarksBusy = false;
          if (written) {
            wanted.forEach(cluster::launchWatermarkSaved);
            leader.runDueWork();
          } else {
            launchMarksRetryAt = loop.now() + settings.heartbeatIntervalS() / 10;
          }
        });
  }

  private ObjectNode entry() {
    return Json.object().put("At", loop.wallClockMs());
  }

  /**
   * A machine gets tasks only once the state service knows that it may: a next leader must account
   * for it. Of one whose reports stop, what it holds is written down instead, and it gets nothing
   * until that is taken back. So should the leader change then, only these tasks must wait for the
   * machine, and not all.
   */
  void saveRegistry() {
    if (registryWriteInFlight
        || loop.now() < registryRetryAt
        || (!cluster.registry().hasPendingWrites() && !registry.splitting())) {
      return;
    }
    for (Machine m :
        registry.splitting() ? List.<Machine>of() : cluster.registry().takeCordonedMachines()) {
      ObjectNode entry = entry();
      ArrayNode held = entry.putArray("Held");
      m.attempts().forEach(a -> held.add(a.task().toString()));
      boolean replaced = registry.replace(m.id(), entry);
      LOG.debug("writing down that machine {} holds at most {}: {}", m.id(), held, replaced);
    }
    // Entries that are being moved are entered nowhere else meanwhile.
    boolean splitting = registry.splitting();
    List<Machine> added = splitting ? List.of() : cluster.registry().unregisteredMachines();
    added.forEach(m -> registry.put(m.id(), entry()));
    List<String> left = new ArrayList<>(cluster.registry().removedMachines());
    left.forEach(registry::remove);
    left.forEach(cluster.registry().removedMachines()::remove);
    Transaction txn = guarded();
    PagedRecords.Batch batch = registry.addTo(txn, settings.maxTransactionWrites(), MAX_TXN_BYTES);
    if (batch.isEmpty()) {
      return;
    }
    List<Machine> entered = added.stream().filter(m -> batch.holds(m.id())).toList();
    registryWriteInFlight = true;
    write(
        txn,
        batch,
        written -> {
          registryWriteInFlight = false;
          if (written) {
            cluster.registry().markRegistered(entered);
            leader.runDueWork();
          } else {
            registryRetryAt = loop.now() + settings.heartbeatIntervalS() / 10;
          }
        });
  }
}
