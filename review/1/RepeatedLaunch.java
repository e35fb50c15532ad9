import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;

/** A launch that was carried out and answered is repeated after the end of the leader. */
public final class RepeatedLaunch {
  private RepeatedLaunch() {}

  public static void main(String[] arguments) throws Exception {
    Log.open(Path.of("review/1/record.txt"));
    World world = new World(List.of("sala-centro"), RepeatedLaunch::runtimeS);
    world.cloud.capacity.put("sala-centro", 2);
    world.startControllers();
    world.leader();
    world.submit(World.job("wk-000001", "lecturas-chip", "cronometristas", "idle", 1, 16));
    String task = "wk-000001/0";
    World.await("the task runs", 30, () -> world.judge.machineOf(task) != null);
    Worker first = world.cloud.worker(world.judge.machineOf(task));
    World.await("two machines are up", 30, () -> world.cloud.workers().size() == 2);
    Worker.pause(2);

    // Two urgent jobs: one takes the idle machine, the other one takes the machine of the task,
    // which goes on on the other machine as soon as that is free.
    world.submit(World.job("wk-000002", "podio-oficial", "patrocinios", "urgent", 1, 16));
    World.await("the first urgent job runs", 30, () -> world.judge.machineOf("wk-000002/0") != null);
    world.submit(World.job("wk-000003", "podio-oficial", "patrocinios", "urgent", 1, 16));
    World.await(
        "the task runs on another machine",
        40,
        () -> {
          String machine = world.judge.machineOf(task);
          return machine != null && !machine.equals(first.name);
        });
    World.await("the urgent job is done", 30, () -> world.poll("wk-000003").equals("done"));
    Worker.pause(7);
    JsonNode launch =
        first.executed.stream()
            .map(Worker.Received::body)
            .filter(body -> has(body, "launch", task))
            .findFirst()
            .orElseThrow();

    // The leader ends; it is back after about six seconds. A second after its end, one of its
    // requests that were carried out and answered reaches the machine again.
    Node leader = world.leader();
    leader.kill();
    Worker.pause(1);
    if (world.trouble) {
      Log.line("repeated request to %s: %s", first.name, launch);
      Http.Reply reply = Http.send("POST", first.address(), "/do", launch, 5);
      Log.line("answer of %s: %d %s", first.name, reply.status(), reply.body());
    }
    Worker.pause(5);
    leader.start();
    Worker.pause(1);
    world.leader();
    Worker.pause(5);
    world.finish();
  }

  private static double runtimeS(String task) {
    return task.startsWith("wk-000002/") ? 6 : task.startsWith("wk-000003/") ? 12 : 300;
  }

  private static boolean has(JsonNode message, String call, String task) {
    for (JsonNode command : message.path("Calls")) {
      if (command.get("Call").asText().equals(call) && command.get("Leg").asText().equals(task)) {
        return true;
      }
    }
    return false;
  }
}
