package org.saffronshore.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Priority;

class JobStoreTest {
  private final ManualEventLoop loop = new ManualEventLoop();
  private final FakeStateService service = new FakeStateService(loop);
  private final JobStore here = store();
  private final JobStore there = store();
  private final List<Object> told = new ArrayList<>();

  private JobStore store() {
    return store(TestData.settings().maxTransactionWrites());
  }

  private JobStore store(int txnOps) {
    ObjectNode json = TestData.settingsJson();
    json.withObject("/cluster/state").put("txn_ops", txnOps);
    try {
      Settings settings = Settings.parse(json);
      return new JobStore(loop, new StateClient(loop, service, settings), settings);
    } catch (InvalidFieldException e) {
      throw new AssertionError(e);
    }
  }

  private static JobSpec job(int n) {
    return TestData.job("wk-" + n, "red", Priority.STANDARD, 2, 1);
  }

  private List<Object> told() {
    loop.pass(5);
    List<Object> all = List.copyOf(told);
    told.clear();
    return all;
  }

  @Test
  void acceptsOnceWhoeverIsAsked() {
    here.submit(job(1), 0, told::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED), told());
    there.submit(job(1), 0, told::add);
    assertEquals(List.of(SubmissionResult.DUPLICATE), told());
    there.lookUp("wk-1", told::add);
    there.lookUp("wk-2", told::add);
    assertEquals(List.of(JobStatus.OPEN, JobStatus.NOT_FOUND), told());
  }

  /** One known job among many must not keep the others from being accepted. */
  @Test
  void submissionsShareTransactions() {
    here.submit(job(3), 0, told::add);
    told();
    int before = service.log.size();
    for (int i = 0; i < 8; i++) {
      here.submit(job(i), 0, told::add);
    }
    List<Object> all = told();
    assertEquals(7, all.stream().filter(SubmissionResult.ACCEPTED::equals).count());
    assertEquals(1, all.stream().filter(SubmissionResult.DUPLICATE::equals).count());
    assertTrue(service.log.size() - before <= 4, service.log.toString());
  }

  /**
   * What was lost may have happened: the user is told to come back, and the truth is found then.
   */
  @Test
  void lostAnswersAreNotGuessedAt() {
    service.answerLost = (method, path) -> path.equals("/commit");
    here.submit(job(1), 0, told::add);
    assertEquals(List.of(SubmissionResult.UNKNOWN), told());
    here.cancel("wk-1", told::add);
    assertEquals(List.of(JobStatus.UNKNOWN), told());
    service.answerLost = (method, path) -> false;
    here.cancel("wk-1", told::add);
    assertEquals(List.of(JobStatus.CANCELLED), told());
    there.submit(job(1), 0, told::add);
    assertEquals(List.of(SubmissionResult.DUPLICATE), told());
    there.lookUp("wk-1", told::add);
    assertEquals(List.of(JobStatus.CANCELLED), told());
  }

  /**
   * A submission that is carried out late must not bring a job back that was cancelled meanwhile.
   */
  @Test
  void lateSubmissionDoesNotReviveAJob() {
    service.held = (method, path) -> path.equals("/commit");
    here.submit(job(1), 0, told::add);
    assertEquals(List.of(SubmissionResult.UNKNOWN), told());
    service.held = (method, path) -> false;
    here.submit(job(1), 0, told::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED), told());
    here.cancel("wk-1", told::add);
    told();
    service.deliverLate();
    there.lookUp("wk-1", told::add);
    assertEquals(List.of(JobStatus.CANCELLED), told());
  }

  @Test
  void absenceIsOnlySaidWhenRead() {
    service.away = (method, path) -> path.contains("f/");
    here.lookUp("wk-1", told::add);
    service.away = (method, path) -> true;
    here.lookUp("wk-1", told::add);
    here.submit(job(1), 0, told::add);
    assertEquals(
        3,
        told().stream()
            .filter(s -> s == JobStatus.UNKNOWN || s == SubmissionResult.UNKNOWN)
            .count());
  }

  /** How a job ended never changes, so it is told even when the state service is away. */
  @Test
  void endsAreRemembered() {
    here.submit(job(1), 0, told::add);
    told();
    here.cancel("wk-1", told::add);
    told();
    service.away = (method, path) -> true;
    here.lookUp("wk-1", told::add);
    here.cancel("wk-1", told::add);
    assertEquals(List.of(JobStatus.CANCELLED, JobStatus.CANCELLED), told());
  }

  /**
   * The state service takes less than was announced: what it refuses must not keep others from
   * being accepted.
   */
  @Test
  void whatCannotBeWrittenHoldsUpNobodyElse() {
    service.valueBytes = 600;
    List<String> many = new ArrayList<>();
    for (int n = 100; n < 200; n++) {
      service.put("f/wk-" + n, new JobOutcome(JobStatus.DONE, 1).toJson());
      many.add("wk-" + n);
    }
    here.submit(job(50).withDependencies(many), 0, told::add);
    told();
    here.submit(job(1), 0, told::add);
    for (int n = 2; n <= 5; n++) {
      here.submit(n == 3 ? job(3).withDependencies(many) : job(n), 0, told::add);
    }
    List<Object> all = told();
    assertEquals(4, all.stream().filter(SubmissionResult.ACCEPTED::equals).count(), all.toString());
    assertEquals(1, all.stream().filter(SubmissionResult.UNKNOWN::equals).count(), all.toString());
    assertEquals(JobStatus.NOT_FOUND, look(there, 3));
    assertEquals(JobStatus.OPEN, look(there, 5));
  }

  @Test
  void refusesWhenItsShareOfTheRateIsSpent() {
    for (int i = 0; i < 2_000; i++) {
      here.submit(job(i), 0, told::add);
    }
    assertTrue(
        told.stream().filter(SubmissionResult.OVERLOADED::equals).count() > 1_000,
        "refused at once");
    loop.pass(60);
    assertEquals(2_000, told.size(), "every submission got its answer");
  }

  // Jobs that need others

  private static JobSpec job(int n, String needs) {
    return job(n).withDependencies(needs.isEmpty() ? List.of() : List.of(needs.split(" ")));
  }

  /** wk-1 to wk-4, each needing the one before, and wk-5 that needs wk-1 and wk-3. */
  private void chain() {
    for (JobSpec job :
        List.of(job(1), job(2, "wk-1"), job(3, "wk-2"), job(4, "wk-3"), job(5, "wk-1 wk-3"))) {
      here.submit(job, 0, told::add);
      assertEquals(List.of(SubmissionResult.ACCEPTED), told());
    }
  }

  private void done(int n) {
    service.remove("j/wk-" + n);
    service.put("f/wk-" + n, new JobOutcome(JobStatus.DONE, 1).toJson());
  }

  private JobStatus look(JobStore at, int n) {
    at.lookUp("wk-" + n, told::add);
    return (JobStatus) told().get(0);
  }

  @ParameterizedTest
  @CsvSource({
    "wk-1, ACCEPTED",
    "wk-1 wk-2, ACCEPTED",
    "wk-7, ACCEPTED",
    "wk-8, ACCEPTED_UNVERIFIED",
    "wk-1 wk-8, ACCEPTED_UNVERIFIED",
    "wk-9, UNKNOWN_DEPENDENCY",
    "wk-1 wk-9, UNKNOWN_DEPENDENCY",
    "wk-8 wk-9, UNKNOWN_DEPENDENCY",
    "wk-6, UNKNOWN_DEPENDENCY"
  })
  void onlyAcceptedJobsMayBeNeeded(String needs, SubmissionResult accepted) {
    here.submit(job(1), 0, told::add);
    here.submit(job(2), 0, told::add);
    here.submit(job(7), 0, told::add);
    here.submit(job(8), 0, told::add);
    told();
    done(7);
    here.cancel("wk-8", told::add);
    told();
    there.submit(job(6, needs), 0, told::add);
    assertEquals(List.of(accepted), told());
  }

  /** An end of a needed job that meets the submission is neither missed nor taken for absence. */
  @Test
  void aNeededJobMayEndWhileAnotherIsAccepted() {
    here.submit(job(1), 0, told::add);
    told();
    there.submit(job(2, "wk-1"), 0, told::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED), told());
    done(1);
    // It knows wk-1 as open by now.
    there.submit(job(3, "wk-1"), 0, told::add);
    there.submit(job(4), 0, told::add);
    assertEquals(List.of(SubmissionResult.ACCEPTED, SubmissionResult.ACCEPTED), told());
  }

  @Test
  void whatIsNeededIsNotGuessedAt() {
    here.submit(job(1), 0, told::add);
    told();
    service.away = (method, path) -> true;
    there.submit(job(2, "wk-1"), 0, told::add);
    assertEquals(List.of(SubmissionResult.UNKNOWN), told());
  }

  /**
   * Each controller tells it at once, of all that need it and of none else, however little it knew
   * before.
   */
  @ParameterizedTest
  @CsvSource({
    "1, CANCELLED CANCELLED CANCELLED CANCELLED CANCELLED",
    "2, OPEN CANCELLED CANCELLED CANCELLED CANCELLED",
    "4, OPEN OPEN OPEN CANCELLED OPEN",
    "5, OPEN OPEN OPEN OPEN CANCELLED"
  })
  void cancelsWithWhatIsNeeded(int cancelled, String statuses) {
    chain();
    for (int n = 1; n <= 5; n++) {
      assertEquals(JobStatus.OPEN, look(here, n));
    }
    there.cancel("wk-" + cancelled, told::add);
    told();
    for (JobStore at : List.of(here, there, store())) {
      List<String> all = new ArrayList<>();
      for (int n = 1; n <= 5; n++) {
        all.add(look(at, n).name());
      }
      assertEquals(statuses, String.join(" ", all));
    }
    here.submit(job(6, "wk-" + cancelled), 0, told::add);
    assertEquals(
        List.of(SubmissionResult.ACCEPTED_UNVERIFIED), told(), "it is accepted all the same");
    assertEquals(JobStatus.CANCELLED, look(store(), 6));
  }

  @Test
  void whatIsDoneCancelsNothing() {
    chain();
    done(1);
    here.cancel("wk-1", told::add);
    assertEquals(List.of(JobStatus.DONE), told());
    for (int n = 2; n <= 5; n++) {
      assertEquals(JobStatus.OPEN, look(there, n));
    }
  }

  /**
   * Once it is known which jobs a job needs, one request tells whether all of them are still open.
   */
  @Test
  void asksForAWholeChainAtOnce() {
    chain();
    assertEquals(JobStatus.OPEN, look(there, 5));
    int before = service.log.size();
    assertEquals(JobStatus.OPEN, look(there, 5));
    assertEquals(1, service.log.size() - before, service.log.toString());
    done(1);
    assertEquals(JobStatus.OPEN, look(there, 5));
  }

  /**
   * What a controller accepted itself it need not read again: one request each, however deep the
   * chain is.
   */
  @Test
  void submitsAChainWithOneRequestEach() {
    for (int n = 1; n <= 10; n++) {
      int before = service.log.size();
      here.submit(n == 1 ? job(1) : job(n, "wk-" + (n - 1)), 0, told::add);
      assertEquals(List.of(SubmissionResult.ACCEPTED), told());
      assertEquals(1, service.log.size() - before, service.log.toString());
    }
    assertEquals(JobStatus.OPEN, look(there, 10));
  }

  /**
   * Whether a needed job is cancelled just before or while the submission is committed, nobody is
   * told "pending".
   */
  @ParameterizedTest
  @CsvSource({"1", "2"})
  void aCancellationMayMeetTheSubmission(int cancelled) {
    chain();
    there.cancel("wk-" + cancelled, told::add);
    told();
    // It knows the chain as open.
    here.submit(job(6, "wk-4"), 0, told::add);
    here.submit(job(7), 0, told::add);
    assertEquals(
        List.of(SubmissionResult.ACCEPTED, SubmissionResult.ACCEPTED_UNVERIFIED),
        told().stream().sorted().toList());
    assertEquals(JobStatus.CANCELLED, look(here, 6));
    assertEquals(JobStatus.OPEN, look(here, 7));
  }

  /**
   * As many jobs as a record may name, however few guards a transaction may have: a few requests
   * tell of all of them, to a controller that knows none.
   */
  @ParameterizedTest
  @CsvSource({
    "9, 0, ACCEPTED_UNVERIFIED, OPEN",
    "1200, 0, ACCEPTED_UNVERIFIED, OPEN",
    "1200, 1200, ACCEPTED, OPEN",
    "1200, 700, ACCEPTED_UNVERIFIED, OPEN",
    "1200, -700, ACCEPTED_UNVERIFIED, CANCELLED"
  })
  void mayNeedManyJobs(int jobs, int ended, SubmissionResult accepted, JobStatus status) {
    service.txnOps = 2;
    JobStore cold = store(2);
    List<String> all = new ArrayList<>();
    for (int n = 1000; n < 1000 + jobs; n++) {
      all.add("wk-" + n);
      if (n >= 1000 + Math.abs(ended)) {
        service.put("j/wk-" + n, Json.object().set("Spec", job(n).toJson()));
      } else {
        service.put(
            "f/wk-" + n,
            new JobOutcome(ended < 0 && n == 1500 ? JobStatus.CANCELLED : JobStatus.DONE, 1)
                .toJson());
      }
    }
    int before = service.log.size();
    cold.submit(job(1).withDependencies(all), 0, told::add);
    assertEquals(List.of(accepted), told());
    assertEquals(status, look(cold, 1));
    assertEquals(status, look(store(2), 1));
    assertTrue(service.log.size() - before <= 30, service.log.size() - before + " requests");
    all.add("wk-999999");
    store(2).submit(job(2).withDependencies(all), 0, told::add);
    assertEquals(List.of(SubmissionResult.UNKNOWN_DEPENDENCY), told());
    assertEquals(0, service.malformed);
  }

  /** One of many is cancelled or done while the job that needs them is open. */
  @ParameterizedTest
  @CsvSource({"20", "100", "400"})
  void findsTheEndOfOneAmongMany(int jobs) {
    List<String> all = new ArrayList<>();
    for (int n = 1000; n < 1000 + jobs; n++) {
      all.add("wk-" + n);
      service.put("j/wk-" + n, Json.object().set("Spec", job(n).toJson()));
    }
    here.submit(job(1).withDependencies(all), 0, told::add);
    told();
    assertEquals(JobStatus.OPEN, look(there, 1));
    done(1000);
    assertEquals(JobStatus.OPEN, look(there, 1));
    here.cancel("wk-1010", told::add);
    told();
    assertEquals(JobStatus.CANCELLED, look(there, 1));
  }

  @Test
  void whatCannotBeListedIsNotGuessedAt() {
    List<String> all = new ArrayList<>();
    for (int n = 1000; n < 1020; n++) {
      all.add("wk-" + n);
      service.put("f/wk-" + n, new JobOutcome(JobStatus.DONE, 1).toJson());
    }
    for (String prefix : List.of("Under=j/", "Under=f/")) {
      service.away = (method, path) -> path.contains(prefix);
      there.submit(job(2).withDependencies(all), 0, told::add);
      assertEquals(List.of(SubmissionResult.UNKNOWN), told());
    }
  }

  // Many questions at once

  /** A burst of polls would spend the controller's share of the requests, were each of them one. */
  @Test
  void pollsInQuickSuccessionShareRequests() {
    service.txnOps = TestData.settings().maxTransactionWrites();
    for (int n = 1; n <= 60; n++) {
      service.put(
          "j/wk-" + n, Json.object().set("Spec", (n % 2 == 0 ? job(n, "wk-1") : job(n)).toJson()));
      assertEquals(JobStatus.OPEN, look(there, n));
    }
    done(7);
    here.cancel("wk-9", told::add);
    told();
    int before = service.log.size();
    List<String> answers = new ArrayList<>();
    for (int n = 1; n <= 60; n++) {
      int job = n;
      there.lookUp("wk-" + n, status -> answers.add(job + " " + status));
    }
    loop.pass(1);
    assertEquals(60, answers.size());
    answers.removeIf(answer -> answer.endsWith(" OPEN"));
    assertEquals(List.of("7 DONE", "9 CANCELLED"), answers.stream().sorted().toList());
    assertTrue(
        service.log.size() - before <= 8,
        service.log.subList(before, service.log.size()).toString());
    assertEquals(0, service.malformed);
  }

  /**
   * Nothing says that a refusal names every guard that failed: what it does not name is asked
   * again.
   */
  @Test
  void whatARefusalDoesNotNameIsAskedAgain() {
    service.namesOneFailure = true;
    for (int n = 1; n <= 20; n++) {
      service.put("j/wk-" + n, Json.object().set("Spec", job(n).toJson()));
      assertEquals(JobStatus.OPEN, look(there, n));
    }
    List.of(3, 5, 8).forEach(this::done);
    here.cancel("wk-9", told::add);
    told();
    List<String> ended = new ArrayList<>();
    for (int n = 1; n <= 20; n++) {
      int job = n;
      there.lookUp(
          "wk-" + n,
          status -> {
            if (status != JobStatus.OPEN) {
              ended.add(job + " " + status);
            }
          });
    }
    loop.pass(2);
    assertEquals(
        List.of("3 DONE", "5 DONE", "8 DONE", "9 CANCELLED"), ended.stream().sorted().toList());
  }

  @Test
  void aBurstOfQuestionsIsRefusedWhenTheServiceIsAway() {
    for (int n = 1; n <= 60; n++) {
      service.put("j/wk-" + n, Json.object().set("Spec", job(n).toJson()));
      assertEquals(JobStatus.OPEN, look(there, n));
    }
    service.away = (method, path) -> true;
    for (int n = 1; n <= 60; n++) {
      there.lookUp("wk-" + n, told::add);
    }
    loop.pass(1);
    assertEquals(60, told.stream().filter(JobStatus.UNKNOWN::equals).count());
    service.away = (method, path) -> false;
    told.clear();
    assertEquals(JobStatus.OPEN, look(there, 60));
  }
}
