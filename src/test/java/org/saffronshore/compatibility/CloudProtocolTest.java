package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.compatibility.MessageBodies.errorBody;
import static org.saffronshore.compatibility.MessageBodies.jobWith;
import static org.saffronshore.compatibility.MessageBodies.jsonObject;
import static org.saffronshore.compatibility.MessageBodies.resource;
import static org.saffronshore.compatibility.MessageBodies.response;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the requests of a controller to the cloud, and how it reads the responses. */
class CloudProtocolTest {
  private static final String GET_MACHINE_TYPES = "GET /machine_types";
  private static final String LIST_MACHINES = "GET /hosts?Most=500";
  private static final String RENT_MACHINES = "POST /hosts";
  private static final String RETURN_MACHINES = "POST /hosts/return";

  private final ControllerHarness controller = new ControllerHarness();

  /** Lets the cloud offer the default machine types with one field of the first type changed. */
  private void offerChangedMachineType(String field, String value) {
    ObjectNode types = jsonObject(resource("machine-types.json"));
    MessageBodies.changeField(types, "/Rigs/0/" + field, value);
    controller.cloudResponses.put(GET_MACHINE_TYPES, response(200, types.toString()));
  }

  private static String rentalRequest(String name, String zone, boolean spot, int count) {
    return ("POST 10.2.0.2:1/hosts {\"Hire\":\"%s\",\"Rig\":\"big\",\"Depot\":\"%s\","
            + "\"Loaner\":%s,\"Count\":%d}")
        .formatted(name, zone, spot, count);
  }

  private static String machineList(String machines, boolean truncated) {
    return "{\"Cadres\":[" + machines + "],\"Truncated\":" + truncated + "}";
  }

  private static String machineWith(String changes) {
    ObjectNode machine =
        jsonObject(
            "{\"Uid\":\"host-9\",\"Address\":\"10.1.0.9:9000\",\"Rig\":\"big\",\"Depot\":\"a\","
                + "\"Loaner\":true,\"Status\":\"booting\",\"HeldS\":1}");
    machine.setAll(jsonObject(changes));
    return machine.toString();
  }

  private int leaderMachineCount() {
    return jsonObject(controller.requestAsOperator("GET", "/admin/status", null).bodyText())
        .get("machines")
        .asInt();
  }

  // Machine types

  @Test
  void machineTypesAreRequestedAtStart() {
    controller.start();
    assertEquals(
        List.of("GET 10.2.0.2:1/machine_types null"), controller.requestsTo("/machine_types"));
  }

  /**
   * Each field of a machine type counts: a job whose tasks just fit is accepted, and one that needs
   * more is rejected.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"Cores\":8} | {\"Cores\":8.5}",
        "{\"Accelerators\":2} | {\"Accelerators\":3}",
        "{\"RamGb\":64} | {\"RamGb\":65}",
        "{\"Rigs\":[\"big\"]} | {\"Rigs\":[\"huge\"]}",
        "{\"Depot\":\"b\"} | {\"Depot\":\"c\"}"
      })
  void machineTypeFieldsLimitAcceptedJobs(String fitting, String unfitting) {
    controller.startAsLeader();
    assertEquals(201, controller.request("POST", "/work", jobWith(fitting)).status());
    ObjectNode unfittingJob = jsonObject(jobWith(unfitting)).put("Uid", "wk-2");
    controller
        .request("POST", "/work", unfittingJob.toString())
        .assertIs(422, errorBody("a task does not fit on any machine type that the job allows"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "Label | | 503",
        "Label | 7 | 503",
        "Cores | | 503",
        "Cores | -1 | 503",
        "Accelerators | | 200",
        "Accelerators | \"x\" | 503",
        "RamGb | | 503",
        "CacheGb | | 200",
        "CacheGb | \"x\" | 503",
        "FetchGbPerS | | 200",
        "FetchGbPerS | \"x\" | 503",
        "Hourly | | 503",
        "LowPrice | | 200",
        "LowPrice | \"x\" | 503",
        "BootS | | 503",
        "Depots | | 200",
        "Depots | null | 200",
        "Depots | \"a\" | 503",
        "Unheard | {} | 200"
      })
  void machineTypesWithInvalidOrMissingRequiredFieldAreNotUsed(
      String field, String value, int health) {
    offerChangedMachineType(field, value);
    controller.startAsLeader();
    assertEquals(health, controller.request("GET", "/healthz", null).status());
  }

  // Rentals

  @Test
  void rentalForPendingTasksNamesMachineKindAndCount() {
    controller.cloudResponses.put(RENT_MACHINES, null);
    controller.startAsLeader();
    controller.submit("{\"Legs\":3,\"Cores\":8,\"Depot\":\"b\"}");
    controller.loop.advance(1);
    assertEquals(List.of(rentalRequest("r-1-1", "b", true, 3)), controller.requestsTo("/hosts"));
  }

  @Test
  void rentalForTasksThatExcludeSpotIsOnDemand() {
    controller.cloudResponses.put(RENT_MACHINES, null);
    controller.startAsLeader();
    controller.submit("{\"Loaner\":false,\"Depot\":\"a\"}");
    controller.loop.advance(1);
    assertEquals(List.of(rentalRequest("r-1-1", "a", false, 1)), controller.requestsTo("/hosts"));
  }

  @Test
  void rentalBeyondCloudLimitIsSplit() {
    controller.cloudResponses.put(RENT_MACHINES, null);
    controller.startAsLeader();
    controller.submit("{\"Crew\":\"blue\",\"Legs\":60,\"Cores\":8,\"Depot\":\"a\"}");
    controller.loop.advance(1);
    assertEquals(
        List.of(rentalRequest("r-1-1", "a", true, 50), rentalRequest("r-1-2", "a", true, 10)),
        controller.requestsTo("/hosts"));
  }

  @ParameterizedTest
  @CsvSource({"LowPrice, 1.9, true", "LowPrice, 2.1, false", "Hourly, 0.9, false"})
  void rentalChoosesSpotByPrice(String field, String price, boolean spot) {
    offerChangedMachineType(field, price);
    controller.cloudResponses.put(RENT_MACHINES, null);
    controller.startAsLeader();
    controller.submit("{\"Depot\":\"a\"}");
    controller.loop.advance(1);
    assertEquals(List.of(rentalRequest("r-1-1", "a", spot, 1)), controller.requestsTo("/hosts"));
  }

  /**
   * Only repeating the rental under the same name shows whether it was carried out; a new name
   * could rent the machines twice.
   */
  @ParameterizedTest
  @CsvSource({", ", "500, {}", "429, {}", "503, {\"error\":\"trouble\"}"})
  void rentalWithUnknownOutcomeIsRepeatedUnchanged(Integer status, String body) {
    controller.cloudResponses.put(RENT_MACHINES, status == null ? null : response(status, body));
    controller.startAsLeader();
    controller.submit("{\"Depot\":\"a\"}");
    controller.loop.advance(14);
    List<String> sent = controller.requestsTo("/hosts");
    String first = rentalRequest("r-1-1", "a", true, 1);
    assertTrue(sent.stream().filter(first::equals).count() >= 3, sent.toString());
  }

  @ParameterizedTest
  @CsvSource({"503, {\"error\":\"no capacity\"}", "400, {\"error\":\"malformed\"}"})
  void rejectedRentalIsRepeatedUnderNewName(int status, String body) {
    controller.cloudResponses.put(RENT_MACHINES, response(status, body));
    controller.startAsLeader();
    controller.submit("{\"Depot\":\"a\",\"Loaner\":false}");
    controller.loop.advance(8);
    List<String> sent = controller.requestsTo("/hosts");
    assertEquals(rentalRequest("r-1-1", "a", false, 1), sent.get(0));
    assertEquals(rentalRequest("r-1-2", "a", false, 1), sent.get(1));
    assertEquals(
        sent.size(),
        new HashSet<>(sent).size(),
        "a rental was repeated under the same name: " + sent);
  }

  @Test
  void machinesInRentalResponseAreCounted() {
    controller.cloudResponses.put(
        RENT_MACHINES, response(200, "{\"Cadres\":[\"host-1\",\"host-2\"]}"));
    controller.startAsLeader();
    controller.submit("{\"Legs\":2,\"Cores\":8,\"Depot\":\"a\"}");
    controller.loop.advance(3);
    assertEquals(List.of(rentalRequest("r-1-1", "a", true, 2)), controller.requestsTo("/hosts"));
    assertEquals(2, leaderMachineCount());
  }

  @Test
  void partiallyFilledRentalIsRepeatedForTheRest() {
    controller.cloudResponses.put(RENT_MACHINES, response(200, "{\"Cadres\":[\"host-1\"]}"));
    controller.startAsLeader();
    controller.submit("{\"Legs\":2,\"Cores\":8,\"Depot\":\"a\",\"Loaner\":false}");
    controller.loop.advance(3);
    List<String> sent = controller.requestsTo("/hosts");
    assertEquals(rentalRequest("r-1-1", "a", false, 2), sent.get(0));
    assertEquals(rentalRequest("r-1-2", "a", false, 1), sent.get(1));
  }

  // The machine list

  @Test
  void truncatedMachineListIsContinuedAfterItsLastMachine() {
    controller.cloudResponses.put(
        LIST_MACHINES,
        response(
            200,
            machineList(
                machineWith("{\"Uid\":\"host-1\"}") + "," + machineWith("{\"Uid\":\"host-3\"}"),
                true)));
    controller.cloudResponses.put(
        "GET /hosts?After=host-3&Most=500",
        response(200, machineList(machineWith("{\"Uid\":\"host-5\"}"), false)));
    controller.startAsLeader();
    assertEquals(
        List.of("GET 10.2.0.2:1/hosts?Most=500 null"), controller.requestsTo("/hosts?Most=500"));
    assertEquals(
        List.of("GET 10.2.0.2:1/hosts?After=host-3&Most=500 null"),
        controller.requestsTo("/hosts?After=host-3&Most=500"));
    assertEquals(3, leaderMachineCount());
  }

  /** No machine is rented for a task that a listed machine can run once it has booted. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{} | false",
        "{\"Unheard\":1} | false",
        "{\"Status\":\"running\"} | false",
        "{\"Status\":\"failed\"} | true",
        "{\"Rig\":\"huge\"} | true",
        "{\"Depot\":\"b\"} | true",
        "{\"Loaner\":false} | false",
        "{\"Uid\":7} | true"
      })
  void listedMachineThatFitsPreventsRental(String changes, boolean rents) {
    controller.cloudResponses.put(
        LIST_MACHINES, response(200, machineList(machineWith(changes), false)));
    controller.startAsLeader();
    controller.submit("{\"Depot\":\"a\"}");
    controller.loop.advance(0.5);
    assertEquals(rents ? 1 : 0, Math.min(1, controller.requestsTo("/hosts").size()));
  }

  @Test
  void listedSpotMachineDoesNotPreventRentalForTaskThatExcludesSpot() {
    controller.cloudResponses.put(
        LIST_MACHINES, response(200, machineList(machineWith("{}"), false)));
    controller.startAsLeader();
    controller.submit("{\"Depot\":\"a\",\"Loaner\":false}");
    controller.loop.advance(0.5);
    assertTrue(controller.requestsTo("/hosts").contains(rentalRequest("r-1-1", "a", false, 1)));
  }

  // Returns

  /**
   * A machine is returned if it has failed, or if it has not come up within three times the boot
   * time of its type.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"HeldS\":1} | false",
        "{\"HeldS\":30} | true",
        "{\"HeldS\":30,\"Rig\":\"huge\"} | false",
        "{\"Status\":\"failed\"} | true"
      })
  void failedOrOverdueMachineIsReturned(String changes, boolean returned) {
    controller.cloudResponses.put(
        LIST_MACHINES, response(200, machineList(machineWith(changes), false)));
    controller.startAsLeader();
    assertEquals(
        returned ? List.of("POST 10.2.0.2:1/hosts/return {\"Cadres\":[\"host-9\"]}") : List.of(),
        controller.requestsTo("/hosts/return"));
    assertEquals(returned ? 0 : 1, leaderMachineCount());
  }

  @Test
  void unconfirmedReturnIsRepeated() {
    controller.cloudResponses.put(
        LIST_MACHINES, response(200, machineList(machineWith("{\"Status\":\"failed\"}"), false)));
    controller.cloudResponses.put(RETURN_MACHINES, response(500, "{}"));
    controller.startAsLeader();
    controller.loop.advance(2);
    List<String> sent = controller.requestsTo("/hosts/return");
    assertTrue(sent.size() >= 3, sent.toString());
    assertEquals(
        List.of("POST 10.2.0.2:1/hosts/return {\"Cadres\":[\"host-9\"]}"),
        sent.stream().distinct().toList());
    assertEquals(1, leaderMachineCount());
  }
}
