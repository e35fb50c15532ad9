package org.saffronshore.state;

import org.saffronshore.http.Loop;

/**
 * This node's share of a rate that the service's nodes have in common. A part of the burst is kept for what the
 * service cannot do without, such as renewing the leader's permit.
 */
public final class Budget {
    /** Users' requests leave this share of the burst alone. */
    private static final double RESERVED = 0.3;

    private final Loop loop;
    private final double perSecond;
    private final double burst;
    private double level;
    private double at;

    public Budget(Loop loop, double perSecond) {
        this.loop = loop;
        this.perSecond = perSecond;
        this.burst = Math.max(1, perSecond);
        this.level = burst;
        this.at = loop.now();
    }

    public boolean take(double amount, boolean vital) {
        double now = loop.now();
        level = Math.min(burst, level + (now - at) * perSecond);
        at = now;
        double floor = vital ? 0 : Math.min(burst * RESERVED, burst - amount);
        if (level - amount < floor) {
            return false;
        }
        level -= amount;
        return true;
    }
}
