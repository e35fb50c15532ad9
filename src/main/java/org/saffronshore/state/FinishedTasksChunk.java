package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.util.Base64;
import java.util.BitSet;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * One chunk of a job's finished tasks, with its stored form. A job's task indexes are divided into
 * ranges of equal length with one entry each, so that an entry fits into a value of the state
 * service. Chunks of the standard length are under {@link Keys#FINISHED_TASKS} and hold only the
 * bits; shorter chunks are under {@link Keys#FINISHED_TASKS_SHORT_CHUNKS} and also hold their
 * length.
 *
 * @param length the number of task indexes that the chunk covers
 * @param tasks the finished tasks, as indexes relative to the start of the chunk
 */
public record FinishedTasksChunk(int length, BitSet tasks) {
  /** The length of chunks that are stored without their length. */
  public static final int STANDARD_LENGTH = 32_768;

  private static final String BITS_FIELD = "Bits";
  private static final String LENGTH_FIELD = "Piece";

  /** Returns the chunk of a job's finished tasks that begins at {@code number * length}. */
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
   * @param defaultLength the length of a chunk whose stored form has no length
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
      // Rejected below, together with values that are not strings.
    }
    throw new InvalidFieldException(
        BITS_FIELD,
        "must be a Base64 string, found an undecodable value of type " + stored.getNodeType());
  }

  /** Returns the stored form. */
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
   * @throws InvalidFieldException when the chunk has task indexes that no job can have
   */
  public void addTo(BitSet finishedTasks, int number) throws InvalidFieldException {
    long first = (long) number * length;
    if (first < 0 || first + tasks.length() > Integer.MAX_VALUE) {
      throw new InvalidFieldException(
          LENGTH_FIELD,
          "must keep task indexes from 0 to "
              + (Integer.MAX_VALUE - 1)
              + ", found length "
              + length
              + " in chunk "
              + number);
    }
    tasks.stream().forEach(task -> finishedTasks.set((int) first + task));
  }

  /** Returns the name of a chunk's entry. */
  public static String entryName(String job, int number) {
    return job + "/" + number;
  }

  /** Returns the id of the job that an entry belongs to. */
  public static String jobOf(String entryName) {
    return Keys.idOf(Keys.FINISHED_TASKS + entryName);
  }

  /**
   * Returns a chunk's number within its job.
   *
   * @throws InvalidFieldException when the entry's name does not end in a number
   */
  public static int numberOf(String entryName) throws InvalidFieldException {
    try {
      return Integer.parseInt(entryName.substring(entryName.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      throw new InvalidFieldException(entryName, "must have the form <job>/<chunk number>");
    }
  }
}
