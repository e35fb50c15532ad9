package org.saffronshore.failover;

import org.saffronshore.config.Settings;

/**
 * The size limits of the pages of {@link PagedRecords}.
 *
 * @param fillBytes the size up to which entries are added to a page; a single entry may be larger
 * @param maxBytes the size up to which a page may grow when its entries are replaced
 */
record PageLimits(int fillBytes, int maxBytes) {
  /** The size to which pages are filled, unless the size limit of stored values is too low. */
  private static final int DEFAULT_FILL_BYTES = 4096;

  private static final int BYTES_PER_KB = 1024;

  /** The fraction of the size limit of a stored value to which small pages are filled. */
  private static final double FILL_FRACTION = 0.6;

  /** The fraction of the size limit of a stored value to which pages may grow. */
  private static final double MAX_FRACTION = 0.9;

  /** Returns the limits that follow from the size limit of stored values. */
  static PageLimits of(Settings settings) {
    return new PageLimits(
        (int) Math.min(DEFAULT_FILL_BYTES, settings.maxValueKb() * BYTES_PER_KB * FILL_FRACTION),
        (int) (settings.maxValueKb() * BYTES_PER_KB * MAX_FRACTION));
  }
}
