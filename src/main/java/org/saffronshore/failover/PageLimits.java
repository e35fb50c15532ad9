package org.saffronshore.failover;

import org.saffronshore.config.Settings;

/**
 * How long the pages of {@link PagedRecords} may become.
 *
 * @param fillBytes how long a page may become by new entries; one entry alone may be longer
 * @param maxBytes how long it may become as its entries grow
 */
record PageLimits(int fillBytes, int maxBytes) {
  /** Pages are filled to about this length, where values may be that long. */
  private static final int DEFAULT_FILL_BYTES = 4096;

  private static final int BYTES_PER_KB = 1024;

  /** The share of the longest value to which short pages are filled. */
  private static final double FILL_FRACTION = 0.6;

  /** The share of the longest value to which pages may grow. */
  private static final double MAX_FRACTION = 0.9;

  static PageLimits of(Settings settings) {
    return new PageLimits(
        (int) Math.min(DEFAULT_FILL_BYTES, settings.maxValueKb() * BYTES_PER_KB * FILL_FRACTION),
        (int) (settings.maxValueKb() * BYTES_PER_KB * MAX_FRACTION));
  }
}
