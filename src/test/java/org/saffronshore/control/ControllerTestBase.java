package org.saffronshore.control;

import org.junit.jupiter.api.BeforeEach;
import org.saffronshore.TestData;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/** One whole controller, with fakes of everything around it. */
abstract class ControllerTestBase extends ClusterSimulation {
  @BeforeEach
  void start() throws InvalidFieldException {
    process = new ControllerProcess("n-0");
    loop.pass(2);
  }

  static JobSpec job(String id, int tasks) {
    return TestData.job(id, "red", Priority.STANDARD, tasks, 4);
  }

  String status(String id) {
    return process.ask("GET", "/work/" + id, null, 200).get("Status").asText();
  }

  void submit(JobSpec job) {
    process.ask("POST", "/work", job.toJson(), 201);
  }
}
