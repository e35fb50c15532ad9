package org.saffronshore.leadership;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Asks the other controllers whether this one may lead a term. */
public interface Ballot {

  /** What a peer said: which life of its process answered, and whether it gives time. */
  record Vote(String node, String life, boolean granted) {}

  /**
   * Collects what the peers say until it is enough, or until all have answered or are out of time.
   */
  void ask(long term, Predicate<List<Vote>> enough, Consumer<List<Vote>> then);

  /** Tells the peers that this node does not go on with its try. */
  void giveUp(long term);
}
