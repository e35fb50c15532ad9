package org.saffronshore.leadership;

import org.jspecify.annotations.Nullable;
import org.saffronshore.state.GetResult;
import org.saffronshore.state.LeaderRecord;

/**
 * The latest term of the deployment, as the term's key has it.
 *
 * @param number 0 when there was none
 * @param node the controller that led it; null when that is not known
 * @param incarnation the process that led it; null when that is not known
 * @param keyVersion the version of the term's key; 0 when the key is missing
 */
record LastTerm(long number, @Nullable String node, @Nullable String incarnation, long keyVersion) {
  private static final LastTerm NONE = new LastTerm(0, null, null, 0);

  /** Reads the term's key, which is found or missing. */
  static LastTerm fromTermKey(GetResult key) {
    if (key.isMissing()) {
      return NONE;
    }
    LeaderRecord leader = LeaderRecord.parse(key.value());
    return new LastTerm(
        Math.max(0, leader.term()), leader.controller(), leader.incarnation(), key.version());
  }

  long nextNumber() {
    return number + 1;
  }
}
