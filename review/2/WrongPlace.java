import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The late copy of a report of a machine that is gone reaches the next leader. */
public final class WrongPlace {
  private static final String FIRST_ZONE = "sala-centro";
  private static final String SECOND_ZONE = "estadio-norte";

  private WrongPlace() {}

  public static void main(String[] arguments) throws Exception {
    Log.open(Path.of("review/2/record.txt"));
    World world = new World(List.of(FIRST_ZONE, SECOND_ZONE), task -> 300);
    world.cloud.capacity.put(FIRST_ZONE, 2);
    world.startControllers();
    world.leader();

    // A job bound to the first zone holds one of its two machines.
    ObjectNode bound = World.job("wk-000001", "podio-oficial", "patrocinios", "urgent", 1, 16);
    bound.put("Depot", FIRST_ZONE).put("EtaS", 300.0);
    world.submit(bound);
    World.await("the bound job runs", 30, () -> world.judge.machineOf("wk-000001/0") != null);

    // Both tasks of this job must be in the same zone. One of them starts in the first zone.
    ObjectNode together = World.job("wk-000002", "lecturas-chip", "cronometristas", "standard", 2, 16);
    world.submit(together.put("SamePlace", true).put("EtaS", 300.0));
    World.await("a task runs", 30, () -> running(world) != null);
    Worker lost = world.cloud.worker(world.judge.machineOf(running(world)));
    world.cloud.capacity.put(SECOND_ZONE, 1);
    World.await("the second zone has a machine", 30, () -> up(world, SECOND_ZONE));
    Worker.pause(6);
    byte[] report = lost.reports.get(lost.reports.size() - 1);

    // The cloud takes the spot machine without notice. The job goes on in the second zone.
    world.cloud.capacity.put(FIRST_ZONE, 1);
    world.cloud.remove(lost.name, "taken by the cloud without notice");
    World.await("a task runs in the second zone", 45, () -> running(world) != null);
    Worker.pause(1);

    // The leader ends, and is back after six seconds; another one takes over.
    Node leader = world.leader();
    leader.kill();
    Http.THREADS.execute(
        () -> {
          Worker.pause(6);
          try {
            leader.start();
          } catch (IOException e) {
            Log.line("controller %s does not start: %s", leader.name, e);
          }
        });
    Node next = world.leader();
    World.await("the next leader knows all machines", 40, () -> accounted(next));
    Worker.pause(3);
    if (world.trouble) {
      Log.line("late copy of a report of %s: %s", lost.name, new String(report, "UTF-8"));
      Http.Reply reply = Http.send("POST", next.address(), "/v1/report", report, 4);
      Log.line("answer to the copy: %d %s", reply.status(), reply.body());
    }

    // The machine in the first zone has room again.
    Worker.pause(1);
    world.released.add("wk-000001/0");
    World.await("the bound job is done", 20, () -> world.poll("wk-000001").equals("done"));
    Worker.pause(6);
    world.finish();
  }

  private static String running(World world) {
    for (String task : List.of("wk-000002/0", "wk-000002/1")) {
      if (world.judge.machineOf(task) != null) {
        return task;
      }
    }
    return null;
  }

  private static boolean up(World world, String zone) {
    return world.cloud.workers().stream().anyMatch(worker -> worker.zone.equals(zone));
  }

  private static boolean accounted(Node node) {
    JsonNode status =
        Http.send("GET", node.peerAddress(), "/admin/status", (byte[]) null, 1).body();
    return status.path("machines").asInt(0) >= 2
        && status.path("machines_unaccounted").asInt(1) == 0;
  }
}
