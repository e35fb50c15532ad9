package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** One machine with its worker, as the protocol describes it. */
public final class Worker {
  private static final class Attempt {
    final String task;
    final long lap;
    final Job job;
    String status = "fetching";
    String cause;
    boolean onMachine;
    boolean done;
    double next;
    double startedAt;

    Attempt(String task, long lap, Job job) {
      this.task = task;
      this.lap = lap;
      this.job = job;
    }
  }

  public final String id;
  public final String type;
  public final String zone;
  public final boolean spot;
  public final double cores;
  public final double ram;
  private final Lab lab;
  private final Recorder recorder;
  private final Random random;
  private final HttpServer server;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private long shift = 1;
  private long tick;
  private long baton;
  private double leaseFrom;
  private int node;
  private boolean gone;
  private boolean hung;
  private boolean mute;
  private boolean deaf;
  private boolean changed;
  private Double recallAt;

  Worker(Lab lab, String id, String type, String zone, boolean spot, double cores, double ram)
      throws Exception {
    this.lab = lab;
    this.recorder = lab.recorder;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cores = cores;
    this.ram = ram;
    this.random = new Random(id.hashCode());
    this.node = random.nextInt(lab.nodes);
    this.leaseFrom = recorder.now();
    this.server = Http.serve(this::handle);
    Http.THREADS.execute(this::reports);
    Http.THREADS.execute(this::run);
    recorder.log("machine %s up", id);
  }

  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** The machine is deleted, taken or has no power: everything on it is gone. */
  public synchronized void gone(String why) {
    if (!gone) {
      gone = true;
      killAll("machine gone: " + why);
      recorder.log("machine %s gone: %s", id, why);
    }
  }

  /** The machine has no power for a moment: its tasks are gone, its worker goes on counting. */
  public synchronized void reboot(boolean newSession) {
    killAll("no power");
    images.clear();
    if (newSession) {
      shift++;
      leaseFrom = recorder.now();
    }
    changed = true;
    recorder.log("machine %s is back after a moment without power, session %d", id, shift);
  }

  /** The machine hangs, or goes on. */
  public synchronized void hang(boolean on) {
    hung = on;
    recorder.log("machine %s hangs: %s", id, on);
  }

  /** Answers and commands do not reach the machine, or do again. */
  public synchronized void deaf(boolean on) {
    deaf = on;
    recorder.log("machine %s receives nothing: %s", id, on);
  }

  /** Nothing reaches the machine or leaves it. */
  public synchronized void cut(boolean on) {
    deaf = on;
    mute = on;
    recorder.log("machine %s cut off: %s", id, on);
  }

  public synchronized void recall(double seconds) {
    recallAt = recorder.now() + seconds;
    changed = true;
  }

  public synchronized boolean isGone() {
    return gone;
  }

  public synchronized long baton() {
    return baton;
  }

  public synchronized List<String> tasksOnMachine() {
    List<String> tasks = new ArrayList<>();
    for (Attempt attempt : attempts.values()) {
      if (attempt.onMachine) {
        tasks.add(attempt.task);
      }
    }
    return tasks;
  }

  private void killAll(String why) {
    for (Attempt attempt : attempts.values()) {
      leave(attempt, why);
    }
    attempts.clear();
  }

  private void enter(Attempt attempt) {
    attempt.onMachine = true;
    attempt.startedAt = recorder.now();
    recorder.log("start %s attempt %d on %s", attempt.task, attempt.lap, id);
    lab.rules.started(attempt.task, attempt.job, this);
  }

  private void leave(Attempt attempt, String why) {
    if (attempt.onMachine) {
      attempt.onMachine = false;
      recorder.log("end %s attempt %d on %s: %s", attempt.task, attempt.lap, id, why);
      lab.rules.ended(attempt.task, attempt.job, this, why);
    }
  }

  private void end(Attempt attempt, String cause) {
    leave(attempt, cause);
    attempt.status = "ended";
    attempt.cause = cause;
    changed = true;
  }

  // Runs tasks and watches the lease.
  private void run() {
    while (true) {
      synchronized (this) {
        if (gone) {
          return;
        }
        double now = recorder.now();
        if (hung && now - leaseFrom > lab.leaseS && !attempts.isEmpty()) {
          // A hanging machine executes nothing, and kills its tasks first if it goes on after this.
          killAll("lease");
        }
        if (!hung) {
          if (now - leaseFrom > lab.leaseS) {
            if (!attempts.isEmpty()) {
              recorder.log("machine %s: lease of session %d has run out", id, shift);
            }
            killAll("lease");
            shift++;
            leaseFrom = now;
            changed = true;
          }
          for (Attempt attempt : new ArrayList<>(attempts.values())) {
            step(attempt, now);
          }
        }
      }
      sleep(0.02);
    }
  }

  private void step(Attempt attempt, double now) {
    if (attempt.status.equals("fetching") && now >= attempt.next) {
      images.add(attempt.job.image);
      if (lab.rules.isKept(attempt.task)) {
        enter(attempt);
        end(attempt, "done");
        return;
      }
      attempt.status = "running";
      attempt.next = now + Math.max(0, attempt.job.runS - lab.rules.savedS(attempt.task));
      changed = true;
      enter(attempt);
    } else if (attempt.status.equals("flushing") && now >= attempt.next) {
      end(attempt, "halted");
    } else if (attempt.status.equals("running") && now >= attempt.next) {
      if (lab.sick.contains(id)) {
        end(attempt, "error");
      } else {
        lab.rules.completed(attempt.task);
        end(attempt, "done");
      }
    }
  }

  private static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized ObjectNode report() {
    ObjectNode report =
        Http.JSON
            .createObjectNode()
            .put("Cadre", id)
            .put("Address", address())
            .put("Rig", type)
            .put("Depot", zone)
            .put("Loaner", spot)
            .put("Shift", shift)
            .put("Tick", ++tick)
            .put("Baton", baton);
    if (recallAt != null) {
      report.put("RecallS", Math.max(0, recallAt - recorder.now()));
    }
    ArrayNode legs = report.putArray("Legs");
    for (Attempt attempt : attempts.values()) {
      ObjectNode leg =
          legs.addObject()
              .put("Leg", attempt.task)
              .put("Lap", attempt.lap)
              .put("Status", attempt.status);
      if (attempt.cause != null) {
        leg.put("Cause", attempt.cause);
      }
    }
    return report;
  }

  // Reports to the controllers, one report in flight at a time.
  private void reports() {
    while (true) {
      ObjectNode report;
      long sentShift;
      double sentAt;
      boolean silent;
      synchronized (this) {
        if (gone) {
          return;
        }
        silent = hung || mute;
        changed = false;
        report = silent ? null : report();
        sentShift = shift;
        sentAt = recorder.now();
      }
      if (silent) {
        sleep(0.2);
        continue;
      }
      int target = node;
      copyReport(report);
      Http.Answer answer = lab.report(target, report);
      lab.reported(this, report, answer);
      boolean stays = false;
      boolean redirected = false;
      synchronized (this) {
        if (gone) {
          return;
        }
        if (deaf) {
          answer = new Http.Answer(0, null);
        }
      }
      if (answer.status() == 200 && answer.body() != null) {
        stays = true;
        awaitGoingOn();
        synchronized (this) {
          long token = answer.body().path("Baton").asLong(-1);
          long later = lab.state.termAfter(token, sentAt);
          if (later > 0) {
            lab.rules.breach(
                "stale_leader",
                Lab.nodeName(target) + " answers a report of " + id + " with token " + token
                    + ", sent after term " + later + " began");
          }
          if (token >= baton && shift == sentShift && !gone) {
            if (token > baton) {
              changed = true;
            }
            baton = token;
            leaseFrom = Math.max(leaseFrom, sentAt);
            execute(answer.body().path("Calls"));
          }
        }
      } else if (answer.status() == 421 && answer.body() != null) {
        int named = lab.nodeNamed(answer.body().path("Dispatcher").asText(""));
        if (named >= 0 && named != target) {
          node = named;
          redirected = true;
        }
      }
      if (redirected) {
        sleep(0.1);
      } else if (!stays) {
        node = (target + 1) % lab.nodes;
        // A worker that got no answer has waited for four seconds.
        double left = answer.status() == 0 ? Math.max(0, sentAt + 4 - recorder.now()) : 0;
        if (answer.status() == 0 && recorder.now() - sentAt < 0.9) {
          left = 0;
        }
        sleep(left + 1);
      } else {
        double due = sentAt + lab.reportS * (0.75 + 0.5 * random.nextDouble());
        while (recorder.now() < due) {
          synchronized (this) {
            if (gone || (changed && recorder.now() >= sentAt + 0.5)) {
              break;
            }
          }
          sleep(0.02);
        }
      }
    }
  }

  private void copyReport(ObjectNode report) {
    double afterS = lab.copies.copyAfterS("report");
    if (afterS > 0) {
      Http.THREADS.execute(
          () -> {
            sleep(afterS);
            int leader = lab.leader();
            if (leader >= 0) {
              lab.toNode(leader, "POST", "/v1/report", report, 4);
            }
          });
    }
  }

  private void awaitGoingOn() {
    while (true) {
      synchronized (this) {
        if (!hung || gone) {
          return;
        }
      }
      sleep(0.02);
    }
  }

  /** Delivers a copy of a command message. */
  public Http.Answer deliver(ObjectNode body) throws Exception {
    return handle("POST", "/do", Map.of(), body.deepCopy().put("Copy", true));
  }

  private Http.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) throws Exception {
    while (true) {
      synchronized (this) {
        if (!gone && !hung && !deaf) {
          break;
        }
      }
      // A machine without power, that hangs or is cut off stays silent.
      Thread.sleep(50);
    }
    synchronized (this) {
      // A hanging machine that goes on looks at its lease first.
      if (recorder.now() - leaseFrom > lab.leaseS) {
        killAll("lease");
        shift++;
        leaseFrom = recorder.now();
      }
      if (path.equals("/status")) {
        return new Http.Answer(200, report());
      }
      double copyAfterS = body == null || body.has("Copy") ? 0 : lab.copies.copyAfterS("do");
      if (copyAfterS > 0) {
        ObjectNode copy = ((ObjectNode) body).deepCopy().put("Copy", true);
        Http.THREADS.execute(
            () -> {
              sleep(copyAfterS);
              try {
                handle(method, path, query, copy);
              } catch (Exception e) {
                recorder.log("copy failed: %s", e);
              }
            });
      }
      if (body == null || !body.has("Baton") || !body.has("Shift")) {
        return new Http.Answer(400, null);
      }
      if (body.get("Baton").asLong() < baton || body.get("Shift").asLong() != shift) {
        return new Http.Answer(409, report());
      }
      if (body.get("Baton").asLong() > baton) {
        changed = true;
      }
      baton = body.get("Baton").asLong();
      execute(body.path("Calls"));
      if (!body.has("Copy")) {
        lab.onCommands.carriedOut(this, (ObjectNode) body);
      }
      return new Http.Answer(200, report());
    }
  }

  private void execute(JsonNode calls) {
    for (JsonNode call : calls) {
      String task = call.path("Leg").asText();
      long lap = call.path("Lap").asLong();
      String key = task + "#" + lap;
      switch (call.path("Call").asText()) {
        case "launch" -> launch(task, lap, key);
        case "kill" -> {
          Attempt attempt = attempts.get(key);
          if (attempt != null && !attempt.status.equals("ended")) {
            stop(attempt, call.path("CooldownS").asDouble(0));
          }
        }
        case "reap" -> {
          Attempt attempt = attempts.get(key);
          if (attempt != null && attempt.status.equals("ended")) {
            attempts.remove(key);
            changed = true;
          }
        }
        default -> {}
      }
    }
  }

  private void stop(Attempt attempt, double cooldownS) {
    boolean saves =
        attempt.status.equals("running")
            && attempt.job.waypointS > 0
            && cooldownS >= attempt.job.stashS;
    if (saves) {
      lab.rules.saved(attempt.task, recorder.now() - attempt.startedAt);
      attempt.status = "flushing";
      attempt.next = recorder.now() + attempt.job.stashS;
      changed = true;
    } else if (!attempt.status.equals("flushing") || cooldownS <= 0) {
      end(attempt, "halted");
    }
  }

  private void launch(String task, long lap, String key) {
    if (attempts.containsKey(key)) {
      return;
    }
    Job job = lab.job(task);
    Attempt attempt = new Attempt(task, lap, job);
    attempts.put(key, attempt);
    changed = true;
    if (job == null) {
      end(attempt, "unknown");
      return;
    }
    double usedCores = 0;
    double usedRam = 0;
    boolean inUse = false;
    for (Attempt other : attempts.values()) {
      if (other != attempt && !other.status.equals("ended")) {
        usedCores += other.job.cores;
        usedRam += other.job.ram;
        inUse |= other.task.equals(task);
      }
    }
    if (inUse) {
      end(attempt, "in_use");
    } else if (usedCores + job.cores > cores + 1e-6 || usedRam + job.ram > ram + 1e-6) {
      end(attempt, "no_room");
    } else {
      attempt.next = recorder.now() + (images.contains(job.image) ? 0 : job.fetchS);
      // A task whose image is on the machine starts at once.
      step(attempt, recorder.now());
    }
  }
}
