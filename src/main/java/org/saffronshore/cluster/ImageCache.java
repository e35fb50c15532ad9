package org.saffronshore.cluster;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Images that a machine is believed to hold; the least recently used one is dropped first. */
final class ImageCache {
  /** Sizes in GB. */
  private final Map<String, Double> sizes = new LinkedHashMap<>(16, 0.75f, true);

  private final Set<String> images = Collections.unmodifiableSet(sizes.keySet());

  /** A live view. */
  Set<String> images() {
    return images;
  }

  /** A task with the image starts: other images go as far as they exceed the capacity. */
  void recordUse(String image, double gb, double capacityGb) {
    sizes.put(image, gb);
    double sum = 0;
    for (double size : sizes.values()) {
      sum += size;
    }
    var oldest = sizes.entrySet().iterator();
    while (sum > capacityGb && oldest.hasNext()) {
      var entry = oldest.next();
      if (!entry.getKey().equals(image)) {
        sum -= entry.getValue();
        oldest.remove();
      }
    }
  }
}
