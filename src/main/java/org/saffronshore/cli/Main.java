package org.saffronshore.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The entry point of the program, which dispatches to subcommands. */
@Command(
    name = "saffronshore",
    description = "A cluster scheduler that rents its machines and survives failures.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    subcommands = {ControllerCommand.class, CdsTrainingCommand.class})
public final class Main implements Callable<Integer> {
  @CommandLine.Spec
  @SuppressWarnings("NullAway.Init") // Set by picocli.
  private CommandLine.Model.CommandSpec spec;

  /** Runs a subcommand. A controller keeps running on its event loop after this method returns. */
  public static void main(String[] args) {
    Logging.setUp(System.getenv("LOG_LEVEL"));
    int status = new CommandLine(new Main()).execute(args);
    if (status != ExitStatus.RUNNING.code()) {
      System.exit(status);
    }
  }

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return CommandLine.ExitCode.USAGE;
  }

  /** The version from the manifest of the jar, which the build writes. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"saffronshore " + (version == null ? "(not packaged)" : version)};
    }
  }
}
