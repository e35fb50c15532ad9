package org.saffronshore.autoscaling;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.state.CommitResult;
import org.saffronshore.state.GetResult;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.MachineTypeList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A cache of the cloud's machine types. The leader also stores them in the state service. Otherwise
 * a controller that starts while the cloud's API is unavailable could neither accept jobs nor place
 * tasks, although all machines are running.
 */
public final class MachineTypeCache {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCache.class);

  private static final int BYTES_PER_KB = 1024;

  private final EventLoop loop;
  private final Settings settings;
  private final CloudClient cloud;
  private final StateClient state;
  private final Leadership leadership;
  private final Consumer<Map<String, MachineType>> onChange;
  private Map<String, MachineType> machineTypes = Map.of();
  private Map<String, MachineType> storedTypes = Map.of();

  /** The last usable list from the cloud, or null before the first one. */
  private @Nullable MachineTypeList cloudTypes;

  /**
   * Creates an empty cache.
   *
   * @param onChange receives the machine types each time they have been read
   */
  public MachineTypeCache(
      EventLoop loop,
      Settings settings,
      CloudClient cloud,
      StateClient state,
      Leadership leadership,
      Consumer<Map<String, MachineType>> onChange) {
    this.loop = loop;
    this.settings = settings;
    this.cloud = cloud;
    this.state = state;
    this.leadership = leadership;
    this.onChange = onChange;
  }

  /**
   * Returns the machine types by name; empty until they have been read from the state service or
   * the cloud.
   */
  public Map<String, MachineType> machineTypes() {
    return machineTypes;
  }

  /** Starts to read the stored types, and to read the cloud's list periodically. */
  public void start() {
    readStoredTypes();
    readCloudTypes();
  }

  private void readStoredTypes() {
    state.get(Keys.MACHINE_TYPES, RequestPriority.VITAL, this::onStoredTypesRead);
  }

  private void onStoredTypesRead(GetResult result) {
    if (result.isFound()) {
      storedTypes = parseStoredTypes(result);
      if (machineTypes.isEmpty()) {
        update(storedTypes);
      }
    } else if (machineTypes.isEmpty()) {
      loop.schedule(settings.heartbeatIntervalS() / 6, this::readStoredTypes);
    }
  }

  private static Map<String, MachineType> parseStoredTypes(GetResult result) {
    try {
      return MachineTypeList.parse(result.value()).types();
    } catch (InvalidFieldException e) {
      LOG.error("Stored machine types cannot be read: reason=\"{}\"", e.getMessage());
      return Map.of();
    }
  }

  private void readCloudTypes() {
    cloud.listMachineTypes(this::onCloudTypesRead);
  }

  private void onCloudTypesRead(Optional<MachineTypeList> list) {
    boolean usable = list.isPresent() && !list.get().types().isEmpty();
    if (usable) {
      update(list.get().types());
      cloudTypes = list.get();
      persist();
    }
    loop.schedule(
        usable ? settings.workerLeaseS() : settings.heartbeatIntervalS() / 3, this::readCloudTypes);
  }

  private void update(Map<String, MachineType> types) {
    machineTypes = types;
    onChange.accept(types);
  }

  /**
   * Stores the cloud's list in the state service if it differs from the stored list in more than
   * prices, this controller holds the leader's lease there, and the list does not exceed the size
   * limit of a value.
   */
  public void persist() {
    MachineTypeList list = cloudTypes;
    if (list == null
        || isStored()
        || !leadership.holdsStoreLease()
        || list.sizeBytes() > settings.maxValueKb() * BYTES_PER_KB) {
      return;
    }
    Map<String, MachineType> types = machineTypes;
    state.commit(
        new Transaction()
            .expectVersion(Keys.LEADER, leadership.leaderKeyVersion())
            .put(Keys.MACHINE_TYPES, list.toJson()),
        RequestPriority.NORMAL,
        result -> onCommitResult(result, types));
  }

  /**
   * Returns whether the stored types equal the current ones. Prices are ignored, since they change
   * often.
   */
  private boolean isStored() {
    return storedTypes.keySet().equals(machineTypes.keySet())
        && machineTypes.values().stream()
            .allMatch(type -> type.equalsIgnoringPrices(storedTypes.get(type.name())));
  }

  private void onCommitResult(CommitResult result, Map<String, MachineType> types) {
    if (result.isCommitted()) {
      storedTypes = types;
    }
  }
}
