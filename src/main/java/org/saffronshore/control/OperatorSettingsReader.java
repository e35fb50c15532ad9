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

/** Reads the operators' settings from the state service, and keeps what was read last. */
@NullMarked
final class OperatorSettingsReader {
  private static final Logger LOG = LoggerFactory.getLogger(OperatorSettingsReader.class);

  private final StateClient state;
  private final Set<String> teams;
  private OperatorSettings current = OperatorSettings.DEFAULTS;

  /**
   * Creates a reader that has read nothing.
   *
   * @param teams which teams the settings may name
   */
  OperatorSettingsReader(StateClient state, Set<String> teams) {
    this.state = state;
    this.teams = teams;
  }

  /** The settings in force: those that were read last, or the defaults. */
  OperatorSettings current() {
    return current;
  }

  /** Reads the settings; those that cannot be read leave the current ones in force. */
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
      LOG.error("Stored operators' settings are ignored: reason={}", e.getMessage());
    }
  }
}
