package case5;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import lab.Case;
import lab.Job;
import lab.Lab;
import lab.Worker;

/**
 * A machine is back within a fraction of a second: its tasks are gone, and its worker goes on
 * counting as the protocol says. Seconds later a copy of a command follows that was carried out
 * before. Does a task start on the machine while it is on another?
 */
public final class CopyAfterReturn {
  private CopyAfterReturn() {}

  /** A command message that a worker carried out. */
  private record Message(Worker worker, ObjectNode body) {}

  public static void main(String[] arguments) {
    Case.run(arguments, new Lab.Config(), CopyAfterReturn::steps);
  }

  private static Boolean steps(Lab lab, boolean trouble) throws Exception {
    List<Message> carriedOut = new CopyOnWriteArrayList<>();
    lab.onCommands = (worker, body) -> carriedOut.add(new Message(worker, body.deepCopy()));
    Job first = new Job("wk-000001", "premios-patrocinio", "patrocinios", 6, 4, 4.7, 70);
    if (!lab.submitUntilAccepted(first, 0)) {
      return null;
    }
    double until = lab.recorder.now() + 20;
    while (lab.rules.onMachines(first.id).size() < first.tasks) {
      if (lab.recorder.now() > until) {
        return null;
      }
      Thread.sleep(100);
    }
    Thread.sleep(7000);
    // The machine with the most tasks is without power for a moment.
    Worker machine = null;
    for (Worker worker : lab.cloud.workers()) {
      if (machine == null || worker.tasksOnMachine().size() > machine.tasksOnMachine().size()) {
        machine = worker;
      }
    }
    List<String> before = machine.tasksOnMachine();
    lab.recorder.log("machine %s has %s", machine.id, before);
    if (trouble) {
      machine.reboot(false);
    }
    // The tasks are started again elsewhere.
    until = lab.recorder.now() + 20;
    while (trouble && lab.rules.onMachines(first.id).size() < first.tasks) {
      if (lab.recorder.now() > until) {
        return null;
      }
      Thread.sleep(100);
    }
    List<String> elsewhere = new ArrayList<>(before);
    elsewhere.removeAll(machine.tasksOnMachine());
    lab.recorder.log("of these, now on other machines: %s", elsewhere);
    Thread.sleep(5000);
    if (trouble) {
      for (Message message : carriedOut) {
        if (message.worker() == machine) {
          lab.recorder.log("a copy arrives at %s: %s", machine.id, message.body());
          lab.recorder.log("answer: %s", machine.deliver(message.body()));
        }
      }
    }
    Thread.sleep(8000);
    Map<String, Integer> counts = new java.util.TreeMap<>();
    lab.rules.broken().forEach(text -> counts.merge(text.substring(0, text.indexOf(':')), 1, Integer::sum));
    lab.recorder.log("rules broken: %s", counts);
    return counts.containsKey("ran_twice");
  }
}
