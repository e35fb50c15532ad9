package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One page of the cloud's list of machines, in the order of their ids.
 *
 * @param isLast whether this is the last page of the list
 */
public record MachineListPage(List<ListedMachine> machines, boolean isLast) {

  /** Reads the body of the cloud's response; empty if it contains no list. */
  public static Optional<MachineListPage> parse(byte[] body) {
    JsonNode tree = Json.parse(body);
    if (tree == null || !tree.path("Cadres").isArray()) {
      return Optional.empty();
    }
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonNode entry : tree.get("Cadres")) {
      ListedMachine.parse(entry).ifPresent(machines::add);
    }
    return Optional.of(new MachineListPage(machines, !Json.bool(tree, "Truncated")));
  }
}
