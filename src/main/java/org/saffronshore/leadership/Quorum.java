package org.saffronshore.leadership;

/**
 * The majority of the controllers of a deployment. Any two quorums have a controller in common.
 *
 * @param controllers all controllers of the deployment, this one included
 */
record Quorum(int controllers) {
  int size() {
    return controllers / 2 + 1;
  }

  boolean isMet(long votes) {
    return votes >= size();
  }
}
