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
 * @param writtenAtMs the time of day at which it was written, in milliseconds since the epoch; far
 *     in the future when that was not recorded
 * @param possibleTasks all that the machine can hold; empty when it may hold anything
 */
public record MachineRegistryEntry(long writtenAtMs, Optional<List<TaskId>> possibleTasks) {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistryEntry.class);
  private static final String WRITTEN_FIELD = "At";
  private static final String POSSIBLE_TASKS_FIELD = "Held";

  /** Such a machine counts as one that was registered this moment. */
  private static final long UNKNOWN_TIME_MS = Long.MAX_VALUE / 2;

  /** An entry of a machine that gets tasks: it may hold anything. */
  public static MachineRegistryEntry mayHoldAnything(long writtenAtMs) {
    return new MachineRegistryEntry(writtenAtMs, Optional.empty());
  }

  /** An entry of a cordoned machine, which can hold no other tasks than these. */
  public static MachineRegistryEntry holdsAtMost(long writtenAtMs, List<TaskId> tasks) {
    return new MachineRegistryEntry(writtenAtMs, Optional.of(List.copyOf(tasks)));
  }

  /**
   * Reads a stored value. What cannot be read proves nothing, so that such a machine may hold
   * anything.
   */
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
            "Possible tasks of a registered machine are unreadable: reason={}", e.getMessage());
        return Optional.empty();
      }
    }
    return Optional.of(tasks);
  }

  /** The stored form. */
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
