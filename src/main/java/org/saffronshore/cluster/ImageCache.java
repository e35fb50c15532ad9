package org.saffronshore.cluster;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The images that a machine is assumed to have cached; the least recently used is evicted first.
 */
final class ImageCache {
  /** Image sizes in GB, least recently used first. */
  private final Map<String, Double> sizes = new LinkedHashMap<>(16, 0.75f, true);

  private final Set<String> images = Collections.unmodifiableSet(sizes.keySet());

  /** Returns a live view of the cached images. */
  Set<String> images() {
    return images;
  }

  /**
   * Records that a task with the image starts, and evicts other images, least recently used first,
   * until the rest fit into the capacity.
   */
  void recordUse(String image, double sizeGb, double capacityGb) {
    sizes.put(image, sizeGb);
    double totalGb = 0;
    for (double size : sizes.values()) {
      totalGb += size;
    }
    var leastRecentlyUsed = sizes.entrySet().iterator();
    while (totalGb > capacityGb && leastRecentlyUsed.hasNext()) {
      var entry = leastRecentlyUsed.next();
      if (!entry.getKey().equals(image)) {
        totalGb -= entry.getValue();
        leastRecentlyUsed.remove();
      }
    }
  }
}
