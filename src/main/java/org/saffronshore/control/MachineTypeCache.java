package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.function.Consumer;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Loop;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Txn;
import org.saffronshore.wire.InvalidField;
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

  private final Loop loop;
  private final Settings settings;
  private final CloudClient cloud;
  private final StateClient state;
  private final Leadership leadership;
  private final Consumer<Map<String, MachineType>> changed;
  private Map<String, MachineType> types = Map.of();
  private Map<String, MachineType> kept = Map.of();
  private JsonNode told;

  MachineTypeCache(Node node, Consumer<Map<String, MachineType>> changed) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.cloud = node.cloud();
    this.state = node.state();
    this.leadership = node.leadership();
    this.changed = changed;
  }

  /** Empty as long as nobody has told. */
  Map<String, MachineType> types() {
    return types;
  }

  void start() {
    readKept();
    readCloud();
  }

  private void readKept() {
    state.get(
        Keys.TYPES,
        true,
        answer -> {
          if (answer.found()) {
            kept = parsed(answer.value());
            if (types.isEmpty()) {
              learned(kept);
            }
          } else if (types.isEmpty()) {
            loop.after(settings.reportS() / 6, this::readKept);
          }
        });
  }

  private void readCloud() {
    cloud.types(
        answer -> {
          JsonNode body = answer.ok() ? answer.json() : null;
          Map<String, MachineType> read = body == null ? Map.of() : parsed(body);
          if (!read.isEmpty()) {
            learned(read);
            told = body;
            keep();
          }
          loop.after(read.isEmpty() ? settings.reportS() / 3 : settings.leaseS(), this::readCloud);
        });
  }

  private static Map<String, MachineType> parsed(JsonNode body) {
    try {
      return MachineType.parseAll(body);
    } catch (InvalidField e) {
      LOG.error("machine types cannot be read: {}", e.getMessage());
      return Map.of();
    }
  }

  private void learned(Map<String, MachineType> now) {
    types = now;
    changed.accept(now);
  }

  /** Writes down what the cloud told, if this node leads and that is new. */
  void keep() {
    boolean same =
        told == null
            || kept.keySet().equals(types.keySet())
                && types.values().stream().allMatch(t -> t.sameButForPrices(kept.get(t.name())));
    if (same
        || !leadership.holdsStoreLease()
        || Json.bytes(told).length > settings.valueKb() * 1024) {
      return;
    }
    Map<String, MachineType> keeping = types;
    state.commit(
        new Txn().guard(Keys.LEADER, leadership.keyVersion()).set(Keys.TYPES, told),
        false,
        answer -> {
          if (answer.committed()) {
            kept = keeping;
          }
        });
  }
}
