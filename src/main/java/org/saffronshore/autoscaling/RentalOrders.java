package org.saffronshore.autoscaling;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.admin.Metrics;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cloud.RentalResult;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.RentalRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The rental orders of one term that are in flight. An order whose outcome is unknown is sent again
 * under the same name; an order that is refused or only partly filled starts a backoff for its
 * machine kind.
 */
final class RentalOrders {
  private static final Logger LOG = LoggerFactory.getLogger(RentalOrders.class);

  /**
   * An order whose outcome is not known yet.
   *
   * @param requestedAt time at which the order was placed, on the event loop's clock
   */
  record RentalOrder(RentalRequest request, double requestedAt) {
    MachineKind kind() {
      return request.kind();
    }

    int count() {
      return request.count();
    }
  }

  private final EventLoop loop;
  private final CloudClient cloud;
  private final Metrics metrics;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final CapacityBackoff backoff;
  private final int maxInFlight;
  private final double retryDelayS;
  private final Map<String, RentalOrder> inFlight = new LinkedHashMap<>();
  private long lastOrderNumber;

  RentalOrders(
      EventLoop loop,
      Settings settings,
      CloudClient cloud,
      Metrics metrics,
      LeaderTerm term,
      Cluster cluster,
      CapacityBackoff backoff) {
    this.loop = loop;
    this.cloud = cloud;
    this.metrics = metrics;
    this.term = term;
    this.cluster = cluster;
    this.backoff = backoff;
    // The number of requests that the cloud accepts in two seconds. Further orders would only wait
    // here and be outdated when they are sent.
    this.maxInFlight = (int) Math.max(2, 2 * settings.cloudRequestsPerS());
    this.retryDelayS = settings.heartbeatIntervalS() / 3;
  }

  /** Returns the orders in flight, oldest first. */
  Collection<RentalOrder> inFlight() {
    return Collections.unmodifiableCollection(inFlight.values());
  }

  /** Returns whether the maximum number of orders is in flight, so that no more can be placed. */
  boolean isFull() {
    return inFlight.size() >= maxInFlight;
  }

  /**
   * Orders machines of a kind, divided into orders of at most {@link
   * CloudClient#MAX_MACHINES_PER_RENTAL} machines. Machines that cannot be ordered because too many
   * orders are in flight are dropped, since the next run of scale-out plans again.
   */
  void place(MachineKind kind, int count) {
    for (int remaining = count;
        remaining > 0 && !isFull() && term.isActive();
        remaining -= CloudClient.MAX_MACHINES_PER_RENTAL) {
      RentalRequest request =
          new RentalRequest(
              "r-" + term.number() + "-" + ++lastOrderNumber,
              kind,
              Math.min(remaining, CloudClient.MAX_MACHINES_PER_RENTAL));
      RentalOrder order = new RentalOrder(request, loop.now());
      inFlight.put(request.name(), order);
      send(order);
    }
  }

  private void send(RentalOrder order) {
    cloud.rentMachines(order.request, result -> onRentalResult(order, result));
  }

  private void onRentalResult(RentalOrder order, RentalResult result) {
    boolean unknown = result.outcome() == RentalResult.Outcome.UNKNOWN;
    if (unknown && term.isActive()) {
      // The cloud may have rented out the machines. Only a request under the same name shows
      // whether it did, without renting machines a second time.
      loop.schedule(retryDelayS, () -> send(order));
      return;
    }
    RentalRequest request = order.request;
    inFlight.remove(request.name());
    switch (result.outcome()) {
      case RENTED -> onMachinesRented(order, result.machines());
      case NO_CAPACITY -> {
        LOG.info("Rental refused, the cloud has no capacity: {}", request);
        backoff.onRefused(request.kind());
      }
      case MALFORMED -> {
        LOG.error("Rental refused, the cloud reports the request as malformed: {}", request);
        backoff.onRefused(request.kind());
      }
      default ->
          LOG.debug("Rental order abandoned, its outcome is unknown: order={}", request.name());
    }
  }

  private void onMachinesRented(RentalOrder order, List<String> machines) {
    MachineKind kind = order.kind();
    LOG.debug("Rented machines: {} rented={}", order.request, machines.size());
    metrics.increment(Metrics.Counter.MACHINES_RENTED, machines.size());
    for (String machine : machines) {
      cluster.machineRented(machine, kind.type(), kind.zone(), kind.spot(), order.requestedAt);
    }
    if (machines.size() < order.count()) {
      backoff.onRefused(kind);
    } else {
      backoff.onAvailable(kind);
    }
  }
}
