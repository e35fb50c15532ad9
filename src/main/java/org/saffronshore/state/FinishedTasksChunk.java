package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.util.Base64;
import java.util.BitSet;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * The stored form of a job's finished tasks: one entry for each range of task indexes of equal
 * length, so that an entry stays below what the state service takes. Chunks of the standard length
 * are under {@link Keys#FINISHED_TASKS} and hold only the bits; shorter ones are under {@link
 * Keys#FINISHED_TASKS_SHORT_CHUNKS} and hold their length too.
 *
 * @param length how many task indexes the chunk covers
 * @param tasks the finished ones, counted from the start of the chunk
 */
public record FinishedTasksChunk(int length, BitSet tasks) {
  /** The length of chunks that need not say how long they are. */
  public static final int STANDARD_LENGTH = 32_768;

  private static final String BITS_FIELD = "Bits";
  private static final String LENGTH_FIELD = "Piece";

  /** The chunk of a job's finished tasks that begins at {@code number * length}. */
  public static FinishedTasksChunk of(BitSet finishedTasks, int number, int length) {
    return new FinishedTasksChunk(
        length, finishedTasks.get(number * length, (number + 1) * length));
  }

  /**
   * Reads a chunk of the standard length.
   *
   * @throws InvalidFieldException when the bits cannot be read
   */
  public static FinishedTasksChunk parse(JsonNode stored) throws InvalidFieldException {
    return new FinishedTasksChunk(STANDARD_LENGTH, parseBits(stored));
  }

  /**
   * Reads a chunk that holds its length.
   *
   * @param defaultLength its length if it holds none
   * @throws InvalidFieldException when the bits cannot be read
   */
  public static FinishedTasksChunk parseShort(JsonNode stored, int defaultLength)
      throws InvalidFieldException {
    return new FinishedTasksChunk(
        (int) Json.integer(stored, LENGTH_FIELD, defaultLength),
        parseBits(stored.path(BITS_FIELD)));
  }

  private static BitSet parseBits(JsonNode stored) throws InvalidFieldException {
    try {
      byte[] bits = stored.binaryValue();
      if (bits != null) {
        return BitSet.valueOf(bits);
      }
    } catch (IOException e) {
      // Falls through to the one message for everything that holds no bits.
    }
    throw new InvalidFieldException(BITS_FIELD, "must be base64");
  }

  /** The stored form. */
  public JsonNode toJson() {
    String bits = Base64.getEncoder().encodeToString(tasks.toByteArray());
    return length == STANDARD_LENGTH
        ? TextNode.valueOf(bits)
        : Json.object().put(BITS_FIELD, bits).put(LENGTH_FIELD, length);
  }

  /**
   * Adds the finished tasks of this chunk to those of its job.
   *
   * @param number the chunk's number within the job
   * @throws InvalidFieldException when it would hold tasks that no job can have
   */
  public void addTo(BitSet finishedTasks, int number) throws InvalidFieldException {
    long first = (long) number * length;
    if (first < 0 || first + tasks.length() > Integer.MAX_VALUE) {
      throw new InvalidFieldException(LENGTH_FIELD, "is out of range");
    }
    tasks.stream().forEach(task -> finishedTasks.set((int) first + task));
  }

  /** The name of a chunk's entry. */
  public static String entryName(String job, int number) {
    return job + "/" + number;
  }

  /** The job that an entry belongs to. */
  public static String jobOf(String entryName) {
    return Keys.idOf(Keys.FINISHED_TASKS + entryName);
  }

  /**
   * A chunk's number within its job.
   *
   * @throws InvalidFieldException when the entry's name holds none
   */
  public static int numberOf(String entryName) throws InvalidFieldException {
    try {
      return Integer.parseInt(entryName.substring(entryName.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      throw new InvalidFieldException(entryName, "must end in a chunk's number");
    }
  }
}
