package org.saffronshore.control;

import java.util.Set;
import org.jspecify.annotations.NullMarked;
import org.saffronshore.admin.OperatorSettings;
import org.saffronshore.state.GetResult;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.wire.InvalidFieldException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the operator settings from the state service, and keeps the latest valid ones. */
@NullMarked
final class OperatorSettingsReader {
  private static final Logger LOG = LoggerFactory.getLogger(OperatorSettingsReader.class);

  private final StateClient state;
  private final Set<String> teams;
  private OperatorSettings current = OperatorSettings.DEFAULTS;

  /**
   * Creates a reader; until the first read, the defaults are in force.
   *
   * @param teams the teams that the settings may name
   */
  OperatorSettingsReader(StateClient state, Set<String> teams) {
    this.state = state;
    this.teams = teams;
  }

  /** Returns the settings in force: the latest valid ones, or the defaults if none are stored. */
  OperatorSettings current() {
    return current;
  }

  /**
   * Reads the settings. If the read fails or they are malformed, the current ones stay in force.
   */
  void read() {
    state.get(Keys.OPERATOR_SETTINGS, RequestPriority.VITAL, this::apply);
  }

  private void apply(GetResult result) {
    try {
      if (result.isFound()) {
        current = OperatorSettings.parse(result.value(), teams);
      } else if (result.isMissing()) {
        current = OperatorSettings.DEFAULTS;
      }
    } catch (InvalidFieldException e) {
      LOG.error(
          "Malformed operator settings, keeping the previous ones: reason={}", e.getMessage());
    }
  }
}
