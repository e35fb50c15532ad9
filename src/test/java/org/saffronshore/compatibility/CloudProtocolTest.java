package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.compatibility.Messages.answer;
import static org.saffronshore.compatibility.Messages.error;
import static org.saffronshore.compatibility.Messages.job;
import static org.saffronshore.compatibility.Messages.json;
import static org.saffronshore.compatibility.Messages.resource;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a controller asks of the cloud, and how it reads the answers. */
class CloudProtocolTest {
  private static final String TYPES = "GET /machine_types";
  private static final String LIST = "GET /hosts?Most=500";
  private static final String RENT = "POST /hosts";
  private static final String RETURN = "POST /hosts/return";

  private final ControllerHarness controller = new ControllerHarness();

  /** The cloud has machine types that differ from the usual ones in one field. */
  private void offers(String field, String value) {
    ObjectNode types = json(resource("machine-types.json"));
    Messages.change(types, "/Rigs/0/" + field, value);
    controller.cloud.put(TYPES, answer(200, types.toString()));
  }

  private static String rental(String name, String zone, boolean spot, int count) {
    return ("POST 10.2.0.2:1/hosts {\"Hire\":\"%s\",\"Rig\":\"big\",\"Depot\":\"%s\","
            + "\"Loaner\":%s,\"Count\":%d}")
        .formatted(name, zone, spot, count);
  }

  private static String machines(String list, boolean truncated) {
    return "{\"Cadres\":[" + list + "],\"Truncated\":" + truncated + "}";
  }

  private static String machine(String changes) {
    ObjectNode machine =
        json(
            "{\"Uid\":\"host-9\",\"Address\":\"10.1.0.9:9000\",\"Rig\":\"big\",\"Depot\":\"a\","
                + "\"Loaner\":true,\"Status\":\"booting\",\"HeldS\":1}");
    machine.setAll(json(changes));
    return machine.toString();
  }

  private int machinesOfTheLeader() {
    return json(controller.administer("GET", "/admin/status", null).text()).get("machines").asInt();
  }

  // Machine types

  @Test
  void typesWhenAControllerStartsAreAskedFor() {
    controller.start();
    assertEquals(List.of("GET 10.2.0.2:1/machine_types null"), controller.sentTo("/machine_types"));
  }

  /** Each field of the answer counts: what just fits is accepted, and what asks for more is not. */
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
  void typesAnsweredDecideWhatFits(String fits, String doesNot) {
    controller.lead();
    assertEquals(201, controller.ask("POST", "/work", job(fits)).status());
    ObjectNode other = json(job(doesNot)).put("Uid", "wk-2");
    controller
        .ask("POST", "/work", other.toString())
        .is(422, error("a task fits no machine type that the job allows"));
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
  void typesWithAMissingOrInvalidFieldAreReadOnlyIfItMayBeMissing(
      String field, String value, int health) {
    offers(field, value);
    controller.lead();
    assertEquals(health, controller.ask("GET", "/healthz", null).status());
  }

  // Rentals

  @Test
  void rentalForWaitingTasksNamesKindAndCount() {
    controller.cloud.put(RENT, null);
    controller.lead();
    controller.submit("{\"Legs\":3,\"Cores\":8,\"Depot\":\"b\"}");
    controller.loop.advance(1);
    assertEquals(List.of(rental("r-1-1", "b", true, 3)), controller.sentTo("/hosts"));
  }

  @Test
  void rentalForTasksThatNeedAnOrdinaryMachineSaysSo() {
    controller.cloud.put(RENT, null);
    controller.lead();
    controller.submit("{\"Loaner\":false,\"Depot\":\"a\"}");
    controller.loop.advance(1);
    assertEquals(List.of(rental("r-1-1", "a", false, 1)), controller.sentTo("/hosts"));
  }

  @Test
  void rentalOfMoreThanTheCloudTakesAtOnceIsDivided() {
    controller.cloud.put(RENT, null);
    controller.lead();
    controller.submit("{\"Crew\":\"blue\",\"Legs\":60,\"Cores\":8,\"Depot\":\"a\"}");
    controller.loop.advance(1);
    assertEquals(
        List.of(rental("r-1-1", "a", true, 50), rental("r-1-2", "a", true, 10)),
        controller.sentTo("/hosts"));
  }

  @ParameterizedTest
  @CsvSource({"LowPrice, 1.9, true", "LowPrice, 2.1, false", "Hourly, 0.9, false"})
  void rentalGoesByThePrices(String field, String price, boolean spot) {
    offers(field, price);
    controller.cloud.put(RENT, null);
    controller.lead();
    controller.submit("{\"Depot\":\"a\"}");
    controller.loop.advance(1);
    assertEquals(List.of(rental("r-1-1", "a", spot, 1)), controller.sentTo("/hosts"));
  }

  /** Only the same name again tells whether it was carried out, and rents nothing twice. */
  @ParameterizedTest
  @CsvSource({", ", "500, {}", "429, {}", "503, {\"error\":\"trouble\"}"})
  void rentalThatMayHaveBeenCarriedOutIsRepeatedAsItWas(Integer status, String body) {
    controller.cloud.put(RENT, status == null ? null : answer(status, body));
    controller.lead();
    controller.submit("{\"Depot\":\"a\"}");
    controller.loop.advance(14);
    List<String> sent = controller.sentTo("/hosts");
    String first = rental("r-1-1", "a", true, 1);
    assertTrue(sent.stream().filter(first::equals).count() >= 3, sent.toString());
  }

  @ParameterizedTest
  @CsvSource({"503, {\"error\":\"no capacity\"}", "400, {\"error\":\"malformed\"}"})
  void rentalThatWasRefusedIsNotRepeatedUnderItsName(int status, String body) {
    controller.cloud.put(RENT, answer(status, body));
    controller.lead();
    controller.submit("{\"Depot\":\"a\",\"Loaner\":false}");
    controller.loop.advance(8);
    List<String> sent = controller.sentTo("/hosts");
    assertEquals(rental("r-1-1", "a", false, 1), sent.get(0));
    assertEquals(rental("r-1-2", "a", false, 1), sent.get(1));
    assertEquals(sent.size(), new HashSet<>(sent).size(), "no name twice");
  }

  @Test
  void rentalAnsweredWithMachinesCountsThem() {
    controller.cloud.put(RENT, answer(200, "{\"Cadres\":[\"host-1\",\"host-2\"]}"));
    controller.lead();
    controller.submit("{\"Legs\":2,\"Cores\":8,\"Depot\":\"a\"}");
    controller.loop.advance(3);
    assertEquals(List.of(rental("r-1-1", "a", true, 2)), controller.sentTo("/hosts"));
    assertEquals(2, machinesOfTheLeader());
  }

  @Test
  void rentalAnsweredWithFewerMachinesIsMadeAgainForTheRest() {
    controller.cloud.put(RENT, answer(200, "{\"Cadres\":[\"host-1\"]}"));
    controller.lead();
    controller.submit("{\"Legs\":2,\"Cores\":8,\"Depot\":\"a\",\"Loaner\":false}");
    controller.loop.advance(3);
    List<String> sent = controller.sentTo("/hosts");
    assertEquals(rental("r-1-1", "a", false, 2), sent.get(0));
    assertEquals(rental("r-1-2", "a", false, 1), sent.get(1));
  }

  // The list of machines

  @Test
  void listThatIsTruncatedIsReadOnFromItsLastMachine() {
    controller.cloud.put(
        LIST,
        answer(
            200,
            machines(
                machine("{\"Uid\":\"host-1\"}") + "," + machine("{\"Uid\":\"host-3\"}"), true)));
    controller.cloud.put(
        "GET /hosts?After=host-3&Most=500",
        answer(200, machines(machine("{\"Uid\":\"host-5\"}"), false)));
    controller.lead();
    assertEquals(
        List.of("GET 10.2.0.2:1/hosts?Most=500 null"), controller.sentTo("/hosts?Most=500"));
    assertEquals(
        List.of("GET 10.2.0.2:1/hosts?After=host-3&Most=500 null"),
        controller.sentTo("/hosts?After=host-3&Most=500"));
    assertEquals(3, machinesOfTheLeader());
  }

  /** Nothing is rented for a task that a listed machine takes when it is up. */
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
  void listOfAMachineThatComesTellsWhatItWillTake(String changes, boolean rents) {
    controller.cloud.put(LIST, answer(200, machines(machine(changes), false)));
    controller.lead();
    controller.submit("{\"Depot\":\"a\"}");
    controller.loop.advance(0.5);
    assertEquals(rents ? 1 : 0, Math.min(1, controller.sentTo("/hosts").size()));
  }

  @Test
  void listOfAMachineThatMayBeTakenBackServesNoTaskThatNeedsAnOrdinaryOne() {
    controller.cloud.put(LIST, answer(200, machines(machine("{}"), false)));
    controller.lead();
    controller.submit("{\"Depot\":\"a\",\"Loaner\":false}");
    controller.loop.advance(0.5);
    assertTrue(controller.sentTo("/hosts").contains(rental("r-1-1", "a", false, 1)));
  }

  // Returns

  /** It has failed, or has been there for three times as long as its type takes to come up. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"HeldS\":1} | false",
        "{\"HeldS\":30} | true",
        "{\"HeldS\":30,\"Rig\":\"huge\"} | false",
        "{\"Status\":\"failed\"} | true"
      })
  void returnOfAMachineOfNoUseNamesIt(String changes, boolean returned) {
    controller.cloud.put(LIST, answer(200, machines(machine(changes), false)));
    controller.lead();
    assertEquals(
        returned ? List.of("POST 10.2.0.2:1/hosts/return {\"Cadres\":[\"host-9\"]}") : List.of(),
        controller.sentTo("/hosts/return"));
    assertEquals(returned ? 0 : 1, machinesOfTheLeader());
  }

  @Test
  void returnThatWasNotAnsweredIsRepeated() {
    controller.cloud.put(LIST, answer(200, machines(machine("{\"Status\":\"failed\"}"), false)));
    controller.cloud.put(RETURN, answer(500, "{}"));
    controller.lead();
    controller.loop.advance(2);
    List<String> sent = controller.sentTo("/hosts/return");
    assertTrue(sent.size() >= 3, sent.toString());
    assertEquals(
        List.of("POST 10.2.0.2:1/hosts/return {\"Cadres\":[\"host-9\"]}"),
        sent.stream().distinct().toList());
    assertEquals(1, machinesOfTheLeader());
  }
}
