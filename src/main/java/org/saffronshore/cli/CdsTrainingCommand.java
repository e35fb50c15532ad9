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
import java.util.Objects;
import java.util.concurrent.Callable;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Runs a controller on loopback for a short time, without the services that it needs, so that the
 * build can archive the classes that it loads (class data sharing). This shortens the start of a
 * controller.
 */
@Command(
    name = "train-cds",
    hidden = true,
    description = "Runs for a moment, for the build to archive classes.")
final class CdsTrainingCommand implements Callable<Integer> {
  /** Classes that only a leader or a candidate loads, below {@link #BASE_PACKAGE}. */
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
          "control.LeaderServices",
          "control.LeadershipMonitor",
          "control.CommandSender",
          "control.HeartbeatService",
          "control.OperatorSettingsReader",
          "control.SchedulingLoop",
          "autoscaling.Autoscaler",
          "autoscaling.BootTimes",
          "autoscaling.CapacityBackoff",
          "autoscaling.CapacityForecast",
          "autoscaling.Consolidation",
          "autoscaling.MachineListPoller",
          "autoscaling.MachineReturns",
          "autoscaling.RentalOrders",
          "autoscaling.RentalOrders$RentalOrder",
          "autoscaling.ReturnReason",
          "autoscaling.ScaleIn",
          "autoscaling.ScaleOut",
          "autoscaling.ScarceTypes",
          "autoscaling.SpareCapacity",
          "autoscaling.WaitObjectives",
          "cloud.RentalResult",
          "cloud.RentalResult$Outcome",
          "peer.PeerMessage",
          "peer.PeerResponse",
          "failover.Failover",
          "failover.TermRecovery",
          "failover.TermRecovery$Stores",
          "failover.TermTransactions",
          "failover.FinishedTasksStore",
          "failover.LaunchWatermarkStore",
          "failover.MachineRegistryStore",
          "failover.JobOutcomeWriter",
          "failover.JobRemoval",
          "failover.CancellationTracker",
          "failover.CancellationHorizon",
          "failover.DependencyResolver",
          "failover.OpenJobWatcher",
          "failover.PageLimits",
          "failover.PagedRecords",
          "failover.PagedRecords$Batch",
          "peer.JobProgress",
          "peer.TermProgress",
          "peer.PeerResponse$Cancellations",
          "peer.PeerVotingClient$VoteCount",
          "peer.OutdatedMessageDetector",
          "peer.OutdatedMessageDetector$Sender",
          "wire.JobStatusResponse",
          "wire.JobStatusResponse$Status",
          "wire.RedirectResponse",
          "control.OpenJobWatcher",
          "control.TermStore",
          "control.PagedRecords",
          "control.PagedRecords$Batch",
          "scheduling.FailedPlacements",
          "fleet.Forecast",
          "fleet.Forecast$MachineTimeline",
          "fleet.DisplacedTasks",
          "scheduling.SchedulingCycle",
          "scheduling.TeamQueues",
          "scheduling.TeamQueue",
          "scheduling.QueueEntry",
          "scheduling.QueueEntry$Waiting",
          "scheduling.QueueEntry$Evicted",
          "scheduling.FairShareOrder",
          "scheduling.FairShareOrder$Head",
          "scheduling.Eviction",
          "scheduling.MachineSelector",
          "scheduling.PreemptionPlanner",
          "scheduling.PreemptionPlanner$Choice",
          "scheduling.VictimSelector",
          "scheduling.OverdueReservation",
          "scheduling.PreemptionReason",
          "scheduling.SchedulingPlan",
          "scheduling.SchedulingPlan$Placement",
          "scheduling.SchedulingPlan$QuotaLimitedTasks",
          "scheduling.MachineView",
          "scheduling.MachineView$Sharing",
          "scheduling.PendingJob",
          "scheduling.Team",
          "scheduling.QuotaUsage",
          "scheduling.QuotaUsage$Amounts",
          "scheduling.Resources",
          "scheduling.PlacedTask",
          "fleet.ScaleOutPlan",
          "wire.MachineKind",
          "wire.Heartbeat",
          "wire.Command",
          "wire.CommandMessage",
          "wire.CommandResponse",
          "wire.TaskId",
          "wire.MachineType",
          "wire.ListedMachine",
          "wire.MachineListPage",
          "wire.RentalRequest",
          "wire.RentalResponse",
          "wire.ReturnRequest",
          "admin.OperatorSettings",
          "state.CommitResult",
          "state.JobCache$Closure",
          "state.JobCache$OpenJob",
          "state.JobOutcome",
          "state.JobRecord",
          "state.LeaderRecord",
          "state.LeaseGrant",
          "state.LeaseRenewal",
          "state.Listing",
          "state.ListingPage",
          "state.Transaction",
          "state.JobRecord",
          "state.FinishedTasksChunk",
          "state.LaunchWatermarkEntry",
          "state.MachineRegistryEntry",
          "state.OpenJobChecker",
          "state.OpenJobChecker$Check",
          "state.StoredEntry",
          "state.Submission",
          "state.SubmissionBatch",
          "state.SubmissionQueue",
          "state.Transaction",
          "state.WatchResult",
          "state.WatchResult$Event",
          "leadership.CampaignOutcome$Lost",
          "leadership.CampaignOutcome$Reason",
          "leadership.CampaignOutcome$Won",
          "leadership.LastTerm",
          "leadership.LeaderTerm",
          "leadership.LeaseRequest",
          "leadership.LeaseRequest$Role",
          "leadership.StoreLease");

  private static final String BASE_PACKAGE = "org.saffronshore.";
  private static final String SETTINGS_RESOURCE = "cds-training.json";
  private static final long DURATION_MS = 1_500;
  private static final long ROUND_INTERVAL_MS = 100;
  private static final List<String> POST_PATHS =
      List.of("/work", "/v1/report", "/work/wk-1/cancel");
  private static final List<String> POST_BODIES = List.of("{}", "{\"Uid\":\"wk-1\"}", "not json");

  @Override
  public Integer call() throws IOException, InvalidFieldException, InterruptedException {
    int port = freePort();
    int peerPort = freePort();
    ControllerCommand.start(settings(port, peerPort));
    loadLeaderClasses();
    HttpClient client = HttpClient.newHttpClient();
    long until = System.currentTimeMillis() + DURATION_MS;
    while (System.currentTimeMillis() < until) {
      sendRequests(client, port, peerPort);
      Thread.sleep(ROUND_INTERVAL_MS);
    }
    return CommandLine.ExitCode.OK;
  }

  private static Settings settings(int port, int peerPort)
      throws IOException, InvalidFieldException {
    try (InputStream resource =
        Objects.requireNonNull(CdsTrainingCommand.class.getResourceAsStream(SETTINGS_RESOURCE))) {
      String template = new String(resource.readAllBytes(), UTF_8);
      return Settings.parse(
          template
              .replace("${port}", Integer.toString(port))
              .replace("${peer}", Integer.toString(peerPort))
              .getBytes(UTF_8));
    }
  }

  private static void sendRequests(HttpClient client, int port, int peerPort)
      throws InterruptedException {
    for (String body : POST_BODIES) {
      for (String path : POST_PATHS) {
        send(client, request(port, path).POST(HttpRequest.BodyPublishers.ofString(body)));
      }
    }
    send(client, request(port, "/healthz"));
    send(client, request(port, "/work/wk-1"));
    send(client, request(peerPort, "/metrics"));
  }

  private static HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
  }

  private static void send(HttpClient client, HttpRequest.Builder request)
      throws InterruptedException {
    try {
      client.send(request.build(), HttpResponse.BodyHandlers.discarding());
    } catch (IOException e) {
      // The controller is still starting; the next round repeats the request.
    }
  }

  private static void loadLeaderClasses() {
    for (String name : LEADER_CLASSES) {
      try {
        Class.forName(BASE_PACKAGE + name);
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
