package org.saffronshore.leadership;

/**
 * A majority of the controllers of a deployment. Any two quorums have a controller in common.
 *
 * @param controllers the number of controllers of the deployment, including this one
 */
record Quorum(int controllers) {
  int size() {
    return controllers / 2 + 1;
  }

  boolean isMet(long votes) {
    return votes >= size();
  }
}
