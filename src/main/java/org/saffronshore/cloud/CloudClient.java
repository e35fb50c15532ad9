package org.saffronshore.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.MachineKind;
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Response;
import org.saffronshore.state.RateLimiter;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.wire.Json;

/** The cloud as the controllers use it. A node that does not lead asks for machine types only. */
public final class CloudClient {
  public static final int MAX_MACHINES_RETURNED = 100;
  public static final int MAX_MACHINES_RENTED = 50;
  public static final int PAGE = 500;
  private static final double TIMEOUT_S = 5;

  /** Followers ask seldom; the rest of the rate is the leader's. */
  private static final double SHARE = 0.8;

  private final EventLoop loop;
  private final Client client;
  private final Settings settings;
  private final RateLimiter budget;

  /** Uses the cloud within this node's share of its request rate. */
  public CloudClient(EventLoop loop, Client client, Settings settings) {
    this.loop = loop;
    this.client = client;
    this.settings = settings;
    this.budget = new RateLimiter(loop, settings.cloudRequestsPerS() * SHARE, 2);
  }

  private void send(
      String method, String path, JsonNode body, boolean vital, Response.Callback then) {
    if (!budget.tryAcquire(1, vital ? RequestPriority.VITAL : RequestPriority.NORMAL)) {
      loop.execute(() -> then.onResponse(new Response(429, new byte[0])));
      return;
    }
    client.send(
        settings.cloudAddress(),
        method,
        path,
        body == null ? null : Json.bytes(body),
        TIMEOUT_S,
        then);
  }

  public void listMachineTypes(Response.Callback then) {
    send("GET", "/machine_types", null, false, then);
  }

  /** Lists machines whose names come after one. */
  public void listMachines(String after, Consumer<Optional<MachinePage>> then) {
    String path = "/hosts?" + (after.isEmpty() ? "" : "After=" + after + "&") + "Most=" + PAGE;
    send("GET", path, null, false, answer -> then.accept(MachinePage.of(answer)));
  }

  /** Rents machines. The name makes a repeat harmless, and must never be used for anything else. */
  public void rentMachines(String name, MachineKind kind, int count, Consumer<RentalResult> then) {
    ObjectNode body =
        Json.object()
            .put("Hire", name)
            .put("Rig", kind.type())
            .put("Depot", kind.zone())
            .put("Loaner", kind.spot())
            .put("Count", count);
    send("POST", "/hosts", body, true, answer -> then.accept(RentalResult.of(answer)));
  }

  /** Returns machines; on success they and everything on them are gone. */
  public void returnMachines(Collection<String> machines, Consumer<Boolean> then) {
    ObjectNode body = Json.object();
    ArrayNode names = body.putArray("Cadres");
    machines.forEach(names::add);
    send("POST", "/hosts/return", body, true, answer -> then.accept(answer.ok()));
  }
}
