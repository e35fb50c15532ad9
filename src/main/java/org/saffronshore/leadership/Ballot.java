package org.saffronshore.leadership;

import java.util.List;
import java.util.function.Consumer;

/** Asks the other controllers whether this one may lead a term. */
public interface Ballot {

    /** What a peer said: which life of its process answered, and whether it gives time. */
    record Vote(String node, String life, boolean granted) {}

    /** Collects what the peers say in time; those that say nothing are left out. */
    void ask(long term, Consumer<List<Vote>> then);

    /** Tells the peers that this node does not go on with its try. */
    void giveUp(long term);
}
