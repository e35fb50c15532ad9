package org.saffronshore.http;

/** How many connections some part of a node may hold, out of the sockets that the platform lets it have. */
public final class Sockets {
    private final int most;
    private int taken;

    public Sockets(int most) {
        this.most = most;
    }

    public boolean take() {
        if (taken >= most) {
            return false;
        }
        taken++;
        return true;
    }

    public void release() {
        taken--;
    }

    public int taken() {
        return taken;
    }
}
