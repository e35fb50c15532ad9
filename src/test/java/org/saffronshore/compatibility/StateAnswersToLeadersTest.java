package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.compatibility.StoredCluster.OTHER_LEADS;
import static org.saffronshore.compatibility.StoredCluster.TYPES;
import static org.saffronshore.compatibility.StoredCluster.json;
import static org.saffronshore.compatibility.StoredCluster.open;
import static org.saffronshore.compatibility.StoredCluster.settings;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.compatibility.StoredCluster.Canned;

/** What the state service may answer a leader or a candidate: seen by what is sent next. */
class StateAnswersToLeadersTest {
  private static final Canned LOST = new Canned(0, "");

  private final StoredCluster cluster = new StoredCluster();

  // A leader's lease

  @Test
  void idOfALeaseIsNamedByTheClaimAndByItsRelease() {
    cluster.answer("POST /holds", new Canned(200, "{'Permit':4711}"));
    cluster.answer("POST /commit", new Canned(409, "{'failed':['t/term']}"));
    cluster.leader();
    String self = "{'Node':'n-0','Life':'" + StoredCluster.LIFE + "','Term':1}";
    assertEquals(
        json(
            "{'Guards':[{'K':'l/leader','Stamp':0},{'K':'t/term','Stamp':0}],'Then':["
                + "{'Set':'l/leader','Permit':4711,'Data':"
                + self
                + "},{'Set':'t/term','Data':"
                + self
                + "}]}"),
        cluster.commits().get(0));
    cluster.assertSent("DELETE /holds/4711");
  }

  /** A claim may be carried out although its answer is lost, as long as the lease lives. */
  @ParameterizedTest
  @CsvSource({"0, true", "429, true", "503, true", "200, false"})
  void claimThatIsNotAnsweredWith200IsFollowedByARelease(int status, boolean released) {
    cluster.answer("POST /commit", new Canned(status, "{'Ledger':9}"));
    cluster.leader();
    cluster.loop.advance(2);
    if (released) {
      cluster.assertSent("DELETE /holds/1");
    } else {
      cluster.assertNotSent("DELETE");
    }
  }

  @ParameterizedTest
  @CsvSource({"200, 200", "404, 421", "503, 200", "0, 200"})
  void renewalEndsTheLeadOnlyWhenTheLeaseIsUnknown(int status, int answer) {
    StoredNode node = cluster.leader();
    cluster.answer("POST /holds/1/renew", new Canned(status, "{}"));
    cluster.loop.advance(2);
    String answered = node.ask("POST", "/v1/report", cluster.machine("host-1", "a").report(0));
    assertEquals(answer, Integer.parseInt(answered.substring(0, 3)));
  }

  // A leader's pages

  /** A leader, with a machine whose first entry in the registry is answered so. */
  private StoredWorker registering(Canned... answers) {
    StoredNode node = cluster.leader();
    cluster.answer(
        "POST /commit {'Guards':[{'K':'l/leader','Stamp':2},{'K':'r/0','Stamp':0}]", answers);
    StoredWorker worker = cluster.machine("host-1", "a");
    worker.reportTo(node);
    cluster.loop.advance(5);
    return worker;
  }

  private long entriesOver(long version) {
    String start = "{'Guards':[{'K':'l/leader','Stamp':2},{'K':'r/0','Stamp':" + version + "}]";
    return cluster.commits().stream().filter(commit -> commit.startsWith(json(start))).count();
  }

  @Test
  void revisionOfATransactionIsTheVersionThatTheNextOneNames() {
    StoredWorker worker = registering(new Canned(200, "{'Ledger':4711}"));
    worker.failed = true;
    cluster.loop.advance(5);
    assertEquals(1, entriesOver(4711));
  }

  @Test
  void refusalForTheLeadersKeyEndsTheLead() {
    registering(new Canned(409, "{'Ledger':9,'failed':['l/leader']}"));
    cluster.assertSent("DELETE /holds/1");
  }

  /** One that was lost turns out to have been carried out: the page's version is asked for. */
  @Test
  void refusalForAPageMakesTheLeaderAskForItsVersion() {
    cluster.answer("GET /kv/r/0", new Canned(200, "{'K':'r/0','Stamp':41,'Data':{}}"));
    registering(LOST, new Canned(409, "{'Ledger':41,'failed':['r/0']}"));
    cluster.assertSent("GET /kv/r/0");
    cluster.assertNotSent("DELETE");
    assertTrue(entriesOver(41) > 0);
  }

  @ParameterizedTest
  @CsvSource({"400", "429", "503", "0"})
  void pageThatIsNotWrittenIsSentAgain(int status) {
    registering(new Canned(status, "{}"));
    assertEquals(2, entriesOver(0));
    cluster.assertNotSent("DELETE");
  }

  // Listings and watches

  private static String item(String id, long version) {
    return "{'K':'j/" + id + "','Stamp':" + version + ",'Data':" + open(id, 1) + "}";
  }

  /** A watch goes on from the revision of the first page. */
  @Test
  void pagesOfOpenJobsAreReadToTheLast() {
    cluster.answer(
        "GET /kv?Under=j/&Most=500",
        new Canned(200, "{'Ledger':20,'Items':[" + item("wk-1", 4) + "],'Truncated':true}"));
    cluster.answer(
        "GET /kv?Under=j/&After=j/wk-1&Most=500",
        new Canned(200, "{'Ledger':25,'Items':[" + item("wk-2", 5) + "]}"));
    StoredNode node = cluster.leader("m/types", TYPES);
    cluster.machine("host-1", "a").reportTo(node);
    cluster.loop.advance(3);
    assertEquals(List.of("wk-1/0", "wk-2/0"), cluster.started);
    cluster.assertSent("GET /changes?Under=j/&After=20&HoldMs=2000");
  }

  @ParameterizedTest
  @CsvSource({"429", "503", "0"})
  void listingThatIsNotAnsweredIsAskedForAgain(int status) {
    cluster.answer("GET /kv?Under=b/", new Canned(status, "{}"));
    StoredNode node = cluster.leader("j/wk-1", open("wk-1", 1));
    cluster.machine("host-1", "a").reportTo(node);
    cluster.loop.advance(4);
    assertEquals(List.of("wk-1/0"), cluster.started);
  }

  @Test
  void changesOfOpenJobsAreCarriedOutAndWatchedFromTheirRevision() {
    StoredNode node = cluster.leader("m/types", TYPES);
    cluster.answer(
        "GET /changes?Under=j/",
        new Canned(
            200,
            "{'Ledger':31,'Events':[{'Set':'j/wk-8','Stamp':30,'Data':" + open("wk-8", 1) + "}]}"));
    StoredWorker worker = cluster.machine("host-1", "a");
    worker.reportTo(node);
    cluster.loop.advance(4);
    cluster.assertSent("GET /changes?Under=j/&After=31&HoldMs=2000");
    assertEquals(List.of("wk-8/0"), cluster.started);
    cluster.answer(
        "GET /changes?Under=j/",
        new Canned(200, "{'Ledger':40,'Events':[{'Remove':'j/wk-8','Stamp':40}]}"));
    cluster.loop.advance(4);
    cluster.assertSent("GET /changes?Under=j/&After=40&HoldMs=2000");
    assertEquals(List.of("wk-8/0"), worker.stopped);
  }

  /** A job is ended only as long as its key has the version that the change named. */
  @Test
  void versionOfAChangeIsNamedByTheEndOfTheJob() {
    StoredNode node = cluster.leader("m/types", TYPES);
    cluster.answer(
        "GET /changes?Under=j/",
        new Canned(
            200,
            "{'Ledger':31,'Events':[{'Set':'j/wk-8','Stamp':30,'Data':" + open("wk-8", 1) + "}]}"));
    StoredWorker worker = cluster.machine("host-1", "a");
    worker.reportTo(node);
    cluster.loop.advance(3);
    worker.end("wk-8/0", "done");
    cluster.loop.advance(2);
    String end =
        "{'Guards':[{'K':'l/leader','Stamp':3},{'K':'j/wk-8','Stamp':30},{'K':'f/wk-8','Stamp':0}],";
    assertTrue(cluster.commits().stream().anyMatch(commit -> commit.startsWith(json(end))));
  }

  /** 410: the open jobs are listed again. Otherwise the watch is repeated. */
  @ParameterizedTest
  @CsvSource({"410, 2", "503, 1", "0, 1"})
  void watchThatIsTooOldIsReplacedByAListing(int status, int listings) {
    cluster.answer("GET /changes?Under=j/", new Canned(status, "{}"));
    StoredNode node = cluster.leader("j/wk-1", open("wk-1", 1));
    cluster.machine("host-1", "a").reportTo(node);
    cluster.loop.advance(7);
    assertEquals(
        listings, cluster.sent.stream().filter(r -> r.equals("GET /kv?Under=j/&Most=500")).count());
    assertEquals(List.of("wk-1/0"), cluster.started);
  }

  /** 410: who leads is still named until the key has been read again. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {"410 | 421 {'Dispatcher':'n-2'}", "503 | 421 {}"})
  void watchOfTheLeadersKeyThatEndsMakesTheKeyBeReadAgain(int status, String answer) {
    cluster.answer("GET /changes?Under=l/leader", new Canned(status, "{}"));
    cluster.put("l/leader", OTHER_LEADS);
    StoredNode node = cluster.start(settings("n-0"));
    cluster.loop.advance(0.01);
    node.assertReportAnswered(answer, cluster.machine("host-1", "a"));
    cluster.loop.advance(1);
    assertEquals(2, cluster.sent.stream().filter("GET /kv/l/leader"::equals).count());
    node.assertReportAnswered("421 {'Dispatcher':'n-2'}", cluster.machine("host-2", "a"));
  }

  @Test
  void removalOfTheLeadersKeyLetsAFollowerCampaign() {
    cluster.answer(
        "GET /changes?Under=l/leader",
        new Canned(200, "{'Ledger':9,'Events':[{'Remove':'l/leader','Stamp':9}]}"));
    cluster.answer(
        "GET /kv/l/leader",
        new Canned(200, "{'K':'l/leader','Stamp':5,'Data':" + OTHER_LEADS + "}"));
    cluster.leader();
    cluster.assertSent("GET /changes?Under=l/leader&After=5&HoldMs=4000");
    assertEquals("1", StoredCluster.tree(cluster.written("t/term")).get("Term").asText());
  }
}
