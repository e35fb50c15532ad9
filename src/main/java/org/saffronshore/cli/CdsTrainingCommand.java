package org.saffronshore.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.Callable;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.Json;
import picocli.CommandLine.Command;

/**
 * Runs a controller for a moment on loopback, against nothing, so that the build can archive the
 * classes that a start needs.
 */
@Command(
    name = "train-cds",
    hidden = true,
    description = "Runs for a moment, for the build to archive classes.")
final class CdsTrainingCommand implements Callable<Integer> {
  /** Classes that only a leader loads, below the package of the project. */
  private static final List<String> LEADER_CLASSES =
      List.of(
          "cluster.Cluster",
          "cluster.AttemptLifecycle",
          "cluster.CommandBatch",
          "cluster.CommandBuilder",
          "cluster.CommandDelivery",
          "cluster.CommandDispatcher",
          "cluster.CommandQueue",
          "cluster.DeliveryOutcome",
          "cluster.HeartbeatReconciler",
          "cluster.ImageCache",
          "cluster.MachineHealth",
          "cluster.MachineLifecycle",
          "cluster.MachineTasks",
          "cluster.PossibleTasks",
          "cluster.Reconciliation",
          "cluster.RegistryEntry",
          "cluster.StopReason",
          "cluster.TaskStatusReconciler",
          "cluster.WorkerEpochs",
          "cluster.WorkerLease",
          "cluster.ClusterView",
          "cluster.QuotaAccounting",
          "cluster.JobTable",
          "cluster.MachineTable",
          "cluster.RuntimeEstimator",
          "cluster.MachineRegistry",
          "cluster.UnresponsiveMachineDetector",
          "cluster.Machine",
          "cluster.Job",
          "cluster.Attempt",
          "cluster.Attempt$State",
          "control.Leader",
          "control.SchedulingLoop",
          "control.Autoscaler",
          "control.ScaleIn",
          "peer.PeerMessage",
          "peer.PeerResponse",
          "control.OpenJobWatcher",
          "control.TermStore",
          "control.PagedRecords",
          "control.PagedRecords$Batch",
          "scheduling.FailedPlacements",
          "fleet.Forecast",
          "fleet.Forecast$MachineTimeline",
          "fleet.DisplacedTasks",
          "scheduling.SchedulingCycle",
          "scheduling.SchedulingPlan",
          "scheduling.SchedulingPlan$Placement",
          "scheduling.SchedulingPlan$QuotaLimitedTasks",
          "scheduling.MachineView",
          "scheduling.PendingJob",
          "scheduling.Team",
          "scheduling.QuotaUsage",
          "scheduling.QuotaUsage$Amounts",
          "scheduling.Resources",
          "scheduling.PlacedTask",
          "fleet.ScaleOutPlan",
          "fleet.MachineKind",
          "wire.Heartbeat",
          "wire.Command",
          "wire.TaskId",
          "wire.MachineType",
          "admin.OperatorSettings",
          "state.Transaction",
          "state.OpenJobChecker",
          "state.SubmissionQueue",
          "leadership.LeaderTerm",
          "leadership.StoreLease");

  private static final long WHILE_MS = 1_500;

  @Override
  public Integer call() throws Exception {
    int port = freePort();
    int peerPort = freePort();
    Settings settings;
    try (InputStream in = CdsTrainingCommand.class.getResourceAsStream("cds-training.json")) {
      String text =
          new String(in.readAllBytes(), UTF_8)
              .replace("${port}", "" + port)
              .replace("${peer}", "" + peerPort);
      settings = Settings.parse(Json.parse(text.getBytes(UTF_8)));
    }
    ControllerCommand.run(settings);
    loadAll();
    var client = HttpClient.newHttpClient();
    String[] bodies = {"{}", "{\"Uid\":\"wk-1\"}", "not json"};
    long until = System.currentTimeMillis() + WHILE_MS;
    while (System.currentTimeMillis() < until) {
      for (String body : bodies) {
        for (String path : new String[] {"/work", "/v1/report", "/work/wk-1/cancel"}) {
          send(client, port, path, body);
        }
      }
      send(client, port, "/healthz", null);
      send(client, port, "/work/wk-1", null);
      send(client, peerPort, "/metrics", null);
      Thread.sleep(100);
    }
    return 0;
  }

  private static void send(HttpClient client, int port, String path, String body)
      throws InterruptedException {
    var request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    if (body != null) {
      request.POST(HttpRequest.BodyPublishers.ofString(body));
    }
    try {
      client.send(request.build(), HttpResponse.BodyHandlers.discarding());
    } catch (IOException e) {
      // The controller is just starting; the next round asks again.
    }
  }

  /** Classes that only a served controller would touch. */
  private static void loadAll() {
    for (String name : LEADER_CLASSES) {
      try {
        Class.forName("org.saffronshore." + name);
      } catch (ClassNotFoundException e) {
        throw new IllegalStateException(
            "class-data-sharing training names an unknown class: " + name, e);
      }
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
