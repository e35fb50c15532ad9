package org.saffronshore.failover;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.config.Settings;
import org.saffronshore.state.FinishedTasksChunk;
import org.saffronshore.state.Keys;
import org.saffronshore.state.Listing;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Persists which tasks of open jobs are finished, so that a change of leader does not run them
 * again.
 */
final class FinishedTasksStore {
  private static final Logger LOG = LoggerFactory.getLogger(FinishedTasksStore.class);

  /** What an entry takes beside its bits. */
  private static final int ENTRY_OVERHEAD_BYTES = 64;

  /** Task indexes per byte of base64. */
  private static final int BITS_PER_BASE64_CHAR = 6;

  private final TermTransactions transactions;
  private final Cluster cluster;
  private final PagedRecords standardChunks;

  /** Chunks of jobs so large that values are too short for a chunk of the standard length. */
  private final PagedRecords shortChunks;

  private final int shortChunkLength;
  private boolean writeInFlight;
  private boolean shortChunksFirst;

  FinishedTasksStore(TermTransactions transactions, Settings settings, Cluster cluster) {
    this.transactions = transactions;
    this.cluster = cluster;
    PageLimits limits = PageLimits.of(settings);
    this.shortChunkLength = shortChunkLength(limits.maxBytes());
    this.shortChunks = new PagedRecords(Keys.FINISHED_TASKS_SHORT_CHUNKS, limits);
    this.standardChunks = new PagedRecords(Keys.FINISHED_TASKS, limits);
  }

  /** The longest chunk that fits into a page; the standard length where that does. */
  private static int shortChunkLength(int maxBytes) {
    int length = FinishedTasksChunk.STANDARD_LENGTH;
    while (length > Byte.SIZE && length / BITS_PER_BASE64_CHAR + ENTRY_OVERHEAD_BYTES > maxBytes) {
      length /= 2;
    }
    return length;
  }

  // Recovery

  /** The finished tasks of each job, as earlier terms have stored them. */
  Map<String, BitSet> load(Listing standard, Listing shorter) {
    Map<String, BitSet> finishedTasks = new HashMap<>();
    standardChunks.load(
        standard.entries(),
        (name, value) -> addChunk(finishedTasks, name, value, FinishedTasksChunk::parse));
    shortChunks.load(
        shorter.entries(),
        (name, value) ->
            addChunk(
                finishedTasks,
                name,
                value,
                stored -> FinishedTasksChunk.parseShort(stored, shortChunkLength)));
    return finishedTasks;
  }

  @FunctionalInterface
  private interface ChunkParser {
    FinishedTasksChunk parse(JsonNode stored) throws InvalidFieldException;
  }

  private static void addChunk(
      Map<String, BitSet> finishedTasks, String name, JsonNode stored, ChunkParser parser) {
    try {
      int number = FinishedTasksChunk.numberOf(name);
      FinishedTasksChunk chunk = parser.parse(stored);
      String job = FinishedTasksChunk.jobOf(name);
      chunk.addTo(finishedTasks.computeIfAbsent(job, id -> new BitSet()), number);
    } catch (InvalidFieldException e) {
      // The tasks run again; one whose result is kept ends at once when it is started again.
      LOG.error("Finished tasks are unreadable: entry={} reason={}", name, e.getMessage());
    }
  }

  /** Drops the entries of jobs that are not open any more. */
  void retainOpenJobs() {
    for (PagedRecords records : List.of(standardChunks, shortChunks)) {
      for (String name : new ArrayList<>(records.entryNames())) {
        if (cluster.job(FinishedTasksChunk.jobOf(name)) == null) {
          records.remove(name);
        }
      }
    }
  }

  // Writing

  /** Drops the entries of a job that has ended. */
  void remove(String job) {
    for (int number = 0;
        number * FinishedTasksChunk.STANDARD_LENGTH < JobSpec.MAX_TASKS;
        number++) {
      standardChunks.remove(FinishedTasksChunk.entryName(job, number));
    }
    if (shortChunkLength < FinishedTasksChunk.STANDARD_LENGTH) {
      shortChunks.entryNames().stream()
          .filter(name -> name.startsWith(job + "/"))
          .toList()
          .forEach(shortChunks::remove);
    }
  }

  /** All finished tasks of a job, and the names of the entries that hold the unsaved ones. */
  private record UnsavedTasks(BitSet finishedTasks, Set<String> entryNames) {}

  /** Writes the tasks that have finished since the last write, unless one is in flight. */
  void save() {
    if (writeInFlight) {
      return;
    }
    Map<Job, UnsavedTasks> saving = new LinkedHashMap<>();
    for (Job job : cluster.jobsWithUnsavedTasks()) {
      if (!job.isComplete()) {
        BitSet finishedTasks = (BitSet) job.finishedTasks().clone();
        saving.put(job, new UnsavedTasks(finishedTasks, putUnsavedChunks(job, finishedTasks)));
      }
    }
    Transaction transaction = transactions.begin();
    PagedRecords.Batch batch = addChangedPages(transaction);
    if (batch.isEmpty()) {
      return;
    }
    saving.values().removeIf(unsaved -> !unsaved.entryNames.stream().allMatch(batch::contains));
    writeInFlight = true;
    transactions.commitPages(
        transaction,
        batch,
        written -> {
          writeInFlight = false;
          if (written) {
            saving.forEach(
                (job, unsaved) -> cluster.finishedTasksSaved(job, unsaved.finishedTasks));
          }
        });
  }

  /** Pages of one of both lengths, in turns should both have something to write. */
  private PagedRecords.Batch addChangedPages(Transaction transaction) {
    shortChunksFirst = !shortChunksFirst;
    PagedRecords.Batch batch =
        transactions.addChangedPages(transaction, shortChunksFirst ? shortChunks : standardChunks);
    return batch.isEmpty()
        ? transactions.addChangedPages(transaction, shortChunksFirst ? standardChunks : shortChunks)
        : batch;
  }

  /** Enters the chunks that hold tasks which are not saved yet; returns the entries' names. */
  private Set<String> putUnsavedChunks(Job job, BitSet finishedTasks) {
    Set<String> names = new LinkedHashSet<>();
    BitSet unsaved = (BitSet) finishedTasks.clone();
    unsaved.andNot(job.savedFinishedTasks());
    // Earlier versions read only chunks of the standard length; one holds all tasks of all but the
    // largest jobs.
    boolean isShort =
        shortChunkLength < FinishedTasksChunk.STANDARD_LENGTH
            && job.spec().tasks() > shortChunkLength;
    int length = isShort ? shortChunkLength : FinishedTasksChunk.STANDARD_LENGTH;
    PagedRecords records = isShort ? shortChunks : standardChunks;
    int task = unsaved.nextSetBit(0);
    while (task >= 0) {
      int number = task / length;
      String name = FinishedTasksChunk.entryName(job.spec().id(), number);
      records.put(name, FinishedTasksChunk.of(finishedTasks, number, length).toJson());
      names.add(name);
      task = unsaved.nextSetBit((number + 1) * length);
    }
    return names;
  }
}
