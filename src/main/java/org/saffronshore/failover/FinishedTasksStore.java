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
 * Persists which tasks of open jobs are finished, so that they are not run again after a change of
 * leader.
 */
final class FinishedTasksStore {
  private static final Logger LOG = LoggerFactory.getLogger(FinishedTasksStore.class);

  /** The bytes of an entry that are reserved for everything except its bits. */
  private static final int ENTRY_OVERHEAD_BYTES = 64;

  /** The number of task indexes that one character of Base64 encodes. */
  private static final int BITS_PER_BASE64_CHAR = 6;

  private final TermTransactions transactions;
  private final Cluster cluster;
  private final PagedRecords standardChunks;

  /**
   * Chunks shorter than the standard length, for large jobs where a chunk of the standard length
   * exceeds the size limit of a stored value.
   */
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

  /**
   * Returns the chunk length, in task indexes, that fits into a page: the standard length, halved
   * as often as necessary.
   */
  private static int shortChunkLength(int maxBytes) {
    int length = FinishedTasksChunk.STANDARD_LENGTH;
    while (length > Byte.SIZE && length / BITS_PER_BASE64_CHAR + ENTRY_OVERHEAD_BYTES > maxBytes) {
      length /= 2;
    }
    return length;
  }

  // Recovery

  /**
   * Loads what earlier terms have stored.
   *
   * @param standard the pages of chunks of the standard length
   * @param shorter the pages of shorter chunks
   * @return the finished tasks of each job, by job id
   */
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
      // These tasks run again. A task whose result is kept ends as soon as it is started again.
      LOG.error("Finished tasks are unreadable: entry={} reason={}", name, e.getMessage());
    }
  }

  /** Removes the entries of jobs that are no longer open. */
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

  /** Removes the entries of a job that has ended. */
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

  /** All finished tasks of a job, and the names of the entries that contain unsaved ones. */
  private record UnsavedTasks(BitSet finishedTasks, Set<String> entryNames) {}

  /** Writes the tasks that have finished since the last write, unless a write is in flight. */
  void save() {
    if (writeInFlight) {
      return;
    }
    Map<Job, UnsavedTasks> unsavedByJob = new LinkedHashMap<>();
    for (Job job : cluster.jobsWithUnsavedTasks()) {
      if (!job.isComplete()) {
        BitSet finishedTasks = (BitSet) job.finishedTasks().clone();
        unsavedByJob.put(
            job, new UnsavedTasks(finishedTasks, putUnsavedChunks(job, finishedTasks)));
      }
    }
    Transaction transaction = transactions.begin();
    PagedRecords.Batch batch = addChangedPages(transaction);
    if (batch.isEmpty()) {
      return;
    }
    unsavedByJob
        .values()
        .removeIf(unsaved -> !unsaved.entryNames.stream().allMatch(batch::contains));
    writeInFlight = true;
    transactions.commitPages(
        transaction,
        batch,
        written -> {
          writeInFlight = false;
          if (written) {
            unsavedByJob.forEach(
                (job, unsaved) -> cluster.finishedTasksSaved(job, unsaved.finishedTasks));
          }
        });
  }

  /**
   * Adds changed pages with chunks of one length to the transaction. If there are changed pages of
   * both lengths, the lengths take turns.
   */
  private PagedRecords.Batch addChangedPages(Transaction transaction) {
    shortChunksFirst = !shortChunksFirst;
    PagedRecords.Batch batch =
        transactions.addChangedPages(transaction, shortChunksFirst ? shortChunks : standardChunks);
    return batch.isEmpty()
        ? transactions.addChangedPages(transaction, shortChunksFirst ? standardChunks : shortChunks)
        : batch;
  }

  /** Puts the chunks that contain unsaved tasks into pages; returns the names of the entries. */
  private Set<String> putUnsavedChunks(Job job, BitSet finishedTasks) {
    Set<String> names = new LinkedHashSet<>();
    BitSet unsaved = (BitSet) finishedTasks.clone();
    unsaved.andNot(job.savedFinishedTasks());
    // Earlier versions can read only chunks of the standard length, and one such chunk holds all
    // tasks of all but the largest jobs. Short chunks are therefore used only for the largest jobs.
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
