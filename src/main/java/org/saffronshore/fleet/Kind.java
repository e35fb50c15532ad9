package org.saffronshore.fleet;

/** What a rental request names: a machine type, a zone, and whether it may be taken back. */
public record Kind(String type, String zone, boolean spot) {
    @Override
    public String toString() {
        return (spot ? "spot " : "ordinary ") + type + " in " + zone;
    }
}
