package org.saffronshore.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.random.RandomGenerator;
import org.saffronshore.config.Settings;
import org.saffronshore.control.Controller;
import org.saffronshore.http.ConnectionLimit;
import org.saffronshore.http.HttpClient;
import org.saffronshore.http.NettyEventLoop;
import org.saffronshore.wire.InvalidFieldException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command that runs one controller until its process is terminated. */
@Command(
    name = "controller",
    description = "Runs one controller node until it is killed.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class)
final class ControllerCommand implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerCommand.class);
  private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

  /** The HTTP client for other services may hold one connection per this many sockets. */
  private static final int SOCKETS_PER_CLIENT_CONNECTION = 6;

  private static final int MIN_CLIENT_CONNECTIONS = 8;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "the platform's settings (JSON)")
  @SuppressWarnings("NullAway.Init") // Set by picocli, which requires the option.
  private Path config;

  @Override
  public Integer call() {
    return serve().code();
  }

  private ExitStatus serve() {
    Settings settings;
    try {
      settings = Settings.parse(Files.readAllBytes(config));
    } catch (IOException e) {
      LOG.error("Cannot read the settings file: file={} error={}", config, e.toString());
      return ExitStatus.INVALID_SETTINGS;
    } catch (InvalidFieldException e) {
      LOG.error("The settings file is not valid: file={} error={}", config, e.getMessage());
      return ExitStatus.INVALID_SETTINGS;
    }
    try {
      start(settings);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitStatus.CANNOT_SERVE;
    } catch (Exception e) {
      // Netty throws the IOException of a failed bind without declaring it.
      LOG.error(
          "Cannot serve: node={} address={} peer_address={} error={}",
          settings.node(),
          settings.listenAddress(),
          settings.peerListenAddress(),
          e.toString());
      return ExitStatus.CANNOT_SERVE;
    }
    LOG.info(
        "Serving: node={} address={} peer_address={}",
        settings.node(),
        settings.listenAddress(),
        settings.peerListenAddress());
    return ExitStatus.RUNNING;
  }

  /** Starts a controller, which keeps running on its event loop after this method returns. */
  static void start(Settings settings) throws InterruptedException {
    NettyEventLoop loop = new NettyEventLoop();
    int clientConnections =
        Math.max(MIN_CLIENT_CONNECTIONS, settings.maxSockets() / SOCKETS_PER_CLIENT_CONNECTION);
    HttpClient client =
        new HttpClient(
            loop, loop.group(), new ConnectionLimit(clientConnections), HttpClient.MAX_IDLE_S);
    Controller controller =
        new Controller(loop, settings, client, RandomGenerator.of(RANDOM_ALGORITHM));
    controller.serve(loop.group());
    loop.execute(controller::start);
  }
}
