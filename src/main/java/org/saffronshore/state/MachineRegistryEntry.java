package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored form of a machine that may hold tasks: an entry of the pages under {@link
 * Keys#MACHINE_REGISTRY}, named after the machine.
 *
 * @param writtenAtMs the time of day at which the entry was written, in milliseconds since the
 *     epoch; far in the future when it was not recorded
 * @param possibleTasks all tasks that the machine can hold; empty when it may hold any task
 */
public record MachineRegistryEntry(long writtenAtMs, Optional<List<TaskId>> possibleTasks) {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistryEntry.class);
  private static final String WRITTEN_FIELD = "At";
  private static final String POSSIBLE_TASKS_FIELD = "Held";

  /**
   * The time that is assumed for an entry without a time: the machine counts as registered just
   * now.
   */
  private static final long UNKNOWN_TIME_MS = Long.MAX_VALUE / 2;

  /** Returns the entry of a machine that receives tasks, and therefore may hold any task. */
  public static MachineRegistryEntry mayHoldAnyTask(long writtenAtMs) {
    return new MachineRegistryEntry(writtenAtMs, Optional.empty());
  }

  /** Returns the entry of a cordoned machine, which can hold no tasks other than the given ones. */
  public static MachineRegistryEntry holdsAtMost(long writtenAtMs, List<TaskId> tasks) {
    return new MachineRegistryEntry(writtenAtMs, Optional.of(List.copyOf(tasks)));
  }

  /** Reads a stored value. If the possible tasks cannot be read, the machine may hold any task. */
  public static MachineRegistryEntry parse(JsonNode stored) {
    return new MachineRegistryEntry(
        Json.integer(stored, WRITTEN_FIELD, UNKNOWN_TIME_MS),
        parseTasks(stored.get(POSSIBLE_TASKS_FIELD)));
  }

  private static Optional<List<TaskId>> parseTasks(JsonNode stored) {
    if (stored == null || !stored.isArray()) {
      return Optional.empty();
    }
    List<TaskId> tasks = new ArrayList<>();
    for (JsonNode task : stored) {
      try {
        tasks.add(TaskId.parse(task.asText()));
      } catch (InvalidFieldException e) {
        LOG.error(
            "Cannot parse the possible tasks of a machine; it may hold any task: reason={}",
            e.getMessage());
        return Optional.empty();
      }
    }
    return Optional.of(tasks);
  }

  /** Returns the stored form. */
  public ObjectNode toJson() {
    ObjectNode stored = Json.object().put(WRITTEN_FIELD, writtenAtMs);
    possibleTasks.ifPresent(
        tasks -> {
          ArrayNode names = stored.putArray(POSSIBLE_TASKS_FIELD);
          tasks.forEach(task -> names.add(task.toString()));
        });
    return stored;
  }
}
