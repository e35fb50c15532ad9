package lab;

import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run. */
public final class Case {
  /** The steps of a case. */
  public interface Steps {
    /**
     * Runs the steps.
     *
     * @param trouble whether the disruption takes place
     * @return whether the rule was broken; null if the case could not run
     */
    Boolean run(Lab lab, boolean trouble) throws Exception;
  }

  private Case() {}

  public static void run(String[] arguments, Lab.Config config, Steps steps) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Boolean broken = null;
    try (Lab lab = new Lab(Path.of(arguments[0]), config)) {
      lab.recorder.log("trouble: %s", trouble);
      try {
        lab.startAll();
        broken = steps.run(lab, trouble);
      } catch (Exception e) {
        lab.recorder.log("the case could not run: %s", e);
      }
      lab.recorder.log(
          "result: %s",
          broken == null ? "could not run" : broken ? "the rule was broken" : "the rule held");
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(broken == null ? 2 : broken ? 1 : 0);
  }
}
