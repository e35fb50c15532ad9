package org.saffronshore.control;

/** How far a job is, as shown to users. */
public record Progress(int done, int running) {
  public static final Progress NONE = new Progress(0, 0);
}
