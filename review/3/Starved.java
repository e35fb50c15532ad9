import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** The answer to one launch is held up; later the task is stopped for an urgent job. */
public final class Starved {
  private Starved() {}

  public static void main(String[] arguments) throws Exception {
    Log.open(Path.of("review/3/record.txt"));
    World world =
        new World(
            List.of("sala-centro"),
            task -> task.startsWith("wk-000001/") ? 300 : task.startsWith("wk-000002/") ? 2 : 7);
    world.cloud.capacity.put("sala-centro", 1);
    world.startControllers();
    world.leader();
    world.submit(World.job("wk-000009", "podio-oficial", "patrocinios", "urgent", 1, 2));
    World.await("the machine is up", 30, () -> !world.cloud.workers().isEmpty());
    Worker machine = world.cloud.workers().get(0);
    String task = "wk-000001/0";
    AtomicBoolean held = new AtomicBoolean(!world.trouble);
    machine.beforeAnswer =
        message -> {
          if (has(message, task) && held.compareAndSet(false, true)) {
            Log.line("the answer to this message is held up for 5 s: %s", message);
            Worker.pause(5);
          }
        };
    world.submit(World.job("wk-000001", "lecturas-chip", "cronometristas", "standard", 1, 8));
    World.await("the task runs", 30, () -> world.judge.machineOf(task) != null);
    Worker.pause(6);

    // An urgent job takes the machine for three seconds.
    world.submit(World.job("wk-000002", "premios-patrocinio", "patrocinios", "urgent", 4, 4));
    World.await("the urgent job is done", 30, () -> world.poll("wk-000002").equals("done"));
    int before = world.judge.starts(task);
    Log.line("starts of the task: %d", before);

    // From now on small jobs use at most 4 of the 16 CPUs.
    double since = Log.now();
    int number = 10;
    while (Log.now() < since + 90 && world.judge.machineOf(task) == null) {
      world.submit(
          World.job(String.format("wk-%06d", number++), "podio-oficial", "patrocinios", "urgent", 1, 2));
      Worker.pause(4);
    }
    Log.line("status of the job: %s", world.poll("wk-000001"));
    if (world.judge.machineOf(task) == null) {
      world.judge.violation(
          "job wk-000001 waited for 90 s while a machine that fits had room and no team has a limit");
    }
    world.finish();
  }

  private static boolean has(JsonNode message, String task) {
    for (JsonNode command : message.path("Calls")) {
      if (command.get("Call").asText().equals("launch") && command.get("Leg").asText().equals(task)) {
        return true;
      }
    }
    return false;
  }
}
