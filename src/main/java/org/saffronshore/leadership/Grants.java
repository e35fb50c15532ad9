package org.saffronshore.leadership;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Loop;

/**
 * Time that the controllers give one another to lead. While a majority, the leader included, keeps
 * giving it time, the leader may act although the state service answers nobody. One node gives time
 * to one leader only; what it gave counts from sending for the one who holds it and from receipt
 * for the one who gave it. So it is over there before it is over here, and two leaders can never
 * hold a majority's time at once.
 */
public final class Grants {
  private final Loop loop;
  private final double lengthS;
  private final int majority;
  private final double silentUntil;
  private String holder;
  private long holderTerm;
  private double givenUntil = Double.NEGATIVE_INFINITY;
  private final Map<String, Double> heldFrom = new HashMap<>();

  public Grants(Loop loop, double lengthS, int nodes) {
    this.loop = loop;
    this.lengthS = lengthS;
    this.majority = nodes / 2 + 1;
    // An earlier life of this process may have given time that this one knows nothing of.
    this.silentUntil = loop.now() + Settings.stretched(lengthS);
  }

  public int majority() {
    return majority;
  }

  /**
   * Gives time to a life of a node that leads or wants to lead a term; false when another may still
   * hold some.
   */
  public boolean give(String node, String life, long term) {
    String asking = node + "/" + life;
    double now = loop.now();
    // Of several that are given time for the same term, one after another, the state service lets
    // only one lead it.
    if (now < silentUntil || term < holderTerm || !asking.equals(holder) && now < givenUntil) {
      return false;
    }
    holder = asking;
    holderTerm = term;
    givenUntil = now + Settings.stretched(lengthS);
    return true;
  }

  /** Whether the time of this node is with someone else who leads or wants to lead that term. */
  public boolean givenAway(String node, String life, long term) {
    return term == holderTerm && loop.now() < givenUntil && !(node + "/" + life).equals(holder);
  }

  /** The one who asked does not want to lead any more, and will not act on what it was given. */
  public void giveUp(String node, String life, long term) {
    if (term == holderTerm && (node + "/" + life).equals(holder)) {
      givenUntil = Double.NEGATIVE_INFINITY;
    }
  }

  /** A peer gave this node time when it was asked at that moment. */
  public void held(String peer, double askedAt) {
    heldFrom.merge(peer, askedAt, Math::max);
  }

  public void holdNone() {
    heldFrom.clear();
  }

  /** Until when a majority's time lasts; this node counts as one of them. */
  public double heldUntil() {
    double[] from = heldFrom.values().stream().mapToDouble(Double::doubleValue).sorted().toArray();
    int needed = majority - 1;
    if (needed == 0) {
      return Double.POSITIVE_INFINITY;
    }
    return from.length < needed
        ? Double.NEGATIVE_INFINITY
        : from[from.length - needed] + Settings.shrunk(lengthS);
  }
}
