package org.saffronshore.leadership;

import org.jspecify.annotations.Nullable;
import org.saffronshore.state.GetResult;
import org.saffronshore.state.LeaderRecord;

/**
 * The latest term of the deployment, as stored in the term key.
 *
 * @param number the last fencing token that was reserved for the term, at least the term's number;
 *     0 if there was no term yet
 * @param node the controller that led the term; null if it is not known
 * @param incarnation the process that led the term; null if it is not known
 * @param keyVersion the version of the term key; 0 if the key is missing
 */
record LastTerm(long number, @Nullable String node, @Nullable String incarnation, long keyVersion) {
  private static final LastTerm NONE = new LastTerm(0, null, null, 0);

  /** Parses the result of reading the term key, which must be found or missing, not unknown. */
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
