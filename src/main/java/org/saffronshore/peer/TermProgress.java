package org.saffronshore.peer;

import java.util.Map;

/**
 * The progress of a leader's jobs.
 *
 * @param term the term that the leader leads
 * @param jobs the progress of jobs by id, without jobs of which no task is running or done
 */
public record TermProgress(long term, Map<String, JobProgress> jobs) {}
