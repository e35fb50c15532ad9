package org.saffronshore.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.saffronshore.scheduling.Plan;
import org.saffronshore.scheduling.Room;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/** Works out what to rent for the tasks that found no place. A pure function. */
public final class FleetPlan {

    /** A machine that the plan adds. */
    private static final class Bin {
        final Kind kind;
        final Room room;

        Bin(Kind kind, MachineType type) {
            this.kind = kind;
            this.room = Room.of(type);
        }

        boolean takes(JobSpec job) {
            return room.fits(job) && kind.allows(job);
        }
    }

    private final Map<String, MachineType> types;
    private final Predicate<Kind> available;
    private final Map<String, Integer> perZone;
    private final List<Bin> bins = new ArrayList<>();
    private final Map<Kind, Integer> orders = new LinkedHashMap<>();

    private FleetPlan(Map<String, MachineType> types, Predicate<Kind> available, Map<String, Integer> perZone) {
        this.types = types;
        this.available = available;
        this.perZone = new HashMap<>(perZone);
    }

    /**
     * @param perZone how many machines each zone has, so that new ones go where there are fewest
     * @param available whether the cloud is thought to have machines of a kind
     */
    public static Map<Kind, Integer> orders(Map<String, MachineType> types, List<Plan.Unmet> unmet, Map<String, Integer> perZone, Predicate<Kind> available) {
        FleetPlan plan = new FleetPlan(types, available, perZone);
        List<JobSpec> tasks = new ArrayList<>();
        for (Plan.Unmet u : unmet) {
            for (int i = 0; i < u.tasks(); i++) {
                tasks.add(u.job());
            }
        }
        // Large tasks first: small ones then fill the gaps, and fewer machines do.
        tasks.sort(Comparator.comparingDouble((JobSpec j) -> -j.cpus()));
        for (int i = 0; i < tasks.size(); i++) {
            plan.add(tasks, i);
        }
        return plan.orders;
    }

    private void add(List<JobSpec> tasks, int index) {
        JobSpec job = tasks.get(index);
        for (Bin bin : bins) {
            if (bin.takes(job)) {
                bin.room.take(job);
                return;
            }
        }
        Kind kind = cheapest(tasks, index);
        if (kind != null) {
            Bin bin = new Bin(kind, types.get(kind.type()));
            bin.room.take(job);
            bins.add(bin);
            orders.merge(kind, 1, Integer::sum);
            perZone.merge(kind.zone(), 1, Integer::sum);
        }
    }

    /** The kind with the lowest price for what it would hold of the tasks from here on. */
    private Kind cheapest(List<JobSpec> tasks, int index) {
        JobSpec job = tasks.get(index);
        Kind best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (MachineType type : types.values()) {
            if (!type.fits(job)) {
                continue;
            }
            for (int spot = 0; spot < 2; spot++) {
                Kind kind = zoneFor(type, spot == 1, job);
                if (kind == null) {
                    continue;
                }
                double price = kind.spot() ? type.spotPrice() : type.price();
                double score = price / held(new Bin(kind, type), tasks, index);
                if (score < bestScore) {
                    best = kind;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private static double held(Bin bin, List<JobSpec> tasks, int index) {
        double cpus = 0;
        for (int i = index; i < tasks.size() && bin.room.cpus > 1e-6; i++) {
            JobSpec job = tasks.get(i);
            if (bin.takes(job)) {
                bin.room.take(job);
                cpus += Math.max(job.cpus(), 1e-3);
            }
        }
        return cpus;
    }

    private Kind zoneFor(MachineType type, boolean spot, JobSpec job) {
        Kind best = null;
        for (String zone : type.zones()) {
            Kind kind = new Kind(type.name(), zone, spot);
            if (kind.allows(job) && available.test(kind) && (best == null
                    || perZone.getOrDefault(zone, 0) < perZone.getOrDefault(best.zone(), 0))) {
                best = kind;
            }
        }
        return best;
    }
}
