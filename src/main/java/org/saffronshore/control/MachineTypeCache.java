package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.function.Consumer;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Knows the cloud's machine types. The leader keeps them in the state service: controllers that
 * start while the cloud's interface is away could otherwise neither accept jobs nor place tasks,
 * although all machines are there.
 */
final class MachineTypeCache {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCache.class);

  private final EventLoop loop;
  private final Settings settings;
  private final CloudClient cloud;
  private final StateClient state;
  private final Leadership leadership;
  private final Consumer<Map<String, MachineType>> changed;
  private Map<String, MachineType> machineTypes = Map.of();
  private Map<String, MachineType> persisted = Map.of();
  private JsonNode cloudResponse;

  MachineTypeCache(Controller node, Consumer<Map<String, MachineType>> changed) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.cloud = node.cloud();
    this.state = node.state();
    this.leadership = node.leadership();
    this.changed = changed;
  }

  /** Empty as long as nobody has told. */
  Map<String, MachineType> machineTypes() {
    return machineTypes;
  }

  void start() {
    readPersisted();
    readCloud();
  }

  private void readPersisted() {
    state.get(
        Keys.MACHINE_TYPES,
        RequestPriority.VITAL,
        answer -> {
          if (answer.isFound()) {
            persisted = parsed(answer.value());
            if (machineTypes.isEmpty()) {
              update(persisted);
            }
          } else if (machineTypes.isEmpty()) {
            loop.schedule(settings.heartbeatIntervalS() / 6, this::readPersisted);
          }
        });
  }

  private void readCloud() {
    cloud.listMachineTypes(
        answer -> {
          JsonNode body = answer.ok() ? answer.json() : null;
          Map<String, MachineType> read = body == null ? Map.of() : parsed(body);
          if (!read.isEmpty()) {
            update(read);
            cloudResponse = body;
            persist();
          }
          loop.schedule(
              read.isEmpty() ? settings.heartbeatIntervalS() / 3 : settings.workerLeaseS(),
              this::readCloud);
        });
  }

  private static Map<String, MachineType> parsed(JsonNode body) {
    try {
      return MachineType.parseAll(body);
    } catch (InvalidFieldException e) {
      LOG.error("machine types cannot be read: {}", e.getMessage());
      return Map.of();
    }
  }

  private void update(Map<String, MachineType> now) {
    machineTypes = now;
    changed.accept(now);
  }

  /** Writes down what the cloud told, if this node leads and that is new. */
  void persist() {
    boolean same =
        cloudResponse == null
            || (persisted.keySet().equals(machineTypes.keySet())
                && machineTypes.values().stream()
                    .allMatch(t -> t.equalsIgnoringPrices(persisted.get(t.name()))));
    if (same
        || !leadership.holdsStoreLease()
        || Json.bytes(cloudResponse).length > settings.maxValueKb() * 1024) {
      return;
    }
    Map<String, MachineType> keeping = machineTypes;
    state.commit(
        new Transaction()
            .expectVersion(Keys.LEADER, leadership.leaderKeyVersion())
            .put(Keys.MACHINE_TYPES, cloudResponse),
        RequestPriority.NORMAL,
        answer -> {
          if (answer.isCommitted()) {
            persisted = keeping;
          }
        });
  }
}
