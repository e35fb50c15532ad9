package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import org.saffronshore.wire.InvalidFieldException;

/**
 * The stored form of a job's launch watermark: an entry of the pages under {@link
 * Keys#LAUNCH_WATERMARKS}, named after the job.
 *
 * @param watermark a task index; no task of the job with this or a higher index was ever launched
 */
public record LaunchWatermarkEntry(int watermark) {

  /**
   * Reads a stored value.
   *
   * @throws InvalidFieldException when the value is not a number in the range of an int
   */
  public static LaunchWatermarkEntry parse(JsonNode stored) throws InvalidFieldException {
    if (!stored.canConvertToInt()) {
      throw new InvalidFieldException("watermark", "must be a task index, found " + stored);
    }
    return new LaunchWatermarkEntry(Math.max(0, stored.intValue()));
  }

  /** Returns the stored form. */
  public JsonNode toJson() {
    return IntNode.valueOf(watermark);
  }
}
