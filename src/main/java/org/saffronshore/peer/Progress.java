package org.saffronshore.peer;

/** How far a job is, as shown to users. */
public record Progress(int done, int running) {
  /** Nothing is known to run or to be done. */
  public static final Progress NONE = new Progress(0, 0);
}
