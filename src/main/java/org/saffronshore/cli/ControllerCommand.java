package org.saffronshore.cli;

import com.fasterxml.jackson.databind.JsonNode;
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
import org.saffronshore.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one controller until it is killed. */
@Command(
    name = "controller",
    description = "Runs one controller node until it is killed.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class)
final class ControllerCommand implements Callable<Integer> {
  /** The exit status that means: do not exit, the loop goes on. */
  static final int RUNNING = -1;

  private static final int BAD_SETTINGS = 78;
  private static final int CANNOT_SERVE = 69;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "the platform's settings (JSON)")
  private Path config;

  @Override
  public Integer call() {
    Logger log = LoggerFactory.getLogger(ControllerCommand.class);
    Settings settings;
    try {
      JsonNode root = Json.parse(Files.readAllBytes(config));
      if (root == null) {
        throw new InvalidFieldException("settings", "is not JSON");
      }
      settings = Settings.parse(root);
    } catch (IOException e) {
      log.error("the settings file {} cannot be read: {}", config, e.toString());
      return BAD_SETTINGS;
    } catch (InvalidFieldException e) {
      log.error("the settings file {} is not valid: {}", config, e.getMessage());
      return BAD_SETTINGS;
    }
    try {
      run(settings);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return CANNOT_SERVE;
    } catch (Exception e) {
      log.error(
          "{} cannot serve on {} and {}: {}",
          settings.node(),
          settings.listenAddress(),
          settings.peerListenAddress(),
          e.toString());
      return CANNOT_SERVE;
    }
    log.info(
        "{} serves on {}, and its peers on {}",
        settings.node(),
        settings.listenAddress(),
        settings.peerListenAddress());
    return RUNNING;
  }

  static void run(Settings settings) throws InterruptedException {
    NettyEventLoop loop = new NettyEventLoop();
    HttpClient client =
        new HttpClient(
            loop,
            loop.group(),
            new ConnectionLimit(Math.max(8, settings.maxSockets() / 6)),
            HttpClient.MAX_IDLE_S);
    Controller node =
        new Controller(loop, settings, client, RandomGenerator.of("L64X128MixRandom"));
    node.serve(loop.group());
    loop.execute(node::start);
  }
}
