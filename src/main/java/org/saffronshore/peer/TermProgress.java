package org.saffronshore.peer;

import java.util.Map;

/**
 * How far the jobs of a leader are.
 *
 * @param term the term that it leads
 * @param jobs the progress of jobs by their ids; those of which no task is done or runs are left
 *     out
 */
public record TermProgress(long term, Map<String, JobProgress> jobs) {}
