package org.saffronshore.control;

import java.util.random.RandomGenerator;
import org.jspecify.annotations.NullMarked;
import org.saffronshore.admin.Metrics;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.peer.PeerReachability;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.StateClient;

/** The components of a controller that a term uses. All of them outlive the term. */
@NullMarked
record LeaderServices(
    EventLoop loop,
    Settings settings,
    RandomGenerator random,
    Client client,
    StateClient state,
    JobStore store,
    CloudClient cloud,
    Leadership leadership,
    PeerReachability peerReachability,
    Metrics metrics,
    QuotaMetrics quotaMetrics) {}
