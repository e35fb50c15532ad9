import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One controller: a process of the project, started with the line of the deploy file. */
final class Node {
  final String name;
  final int port;
  final int peerPort;
  private final Path root;
  private final Path settings;
  private final Path log;
  private Process process;

  Node(String name, int port, int peerPort, Path root, Path folder) {
    this.name = name;
    this.port = port;
    this.peerPort = peerPort;
    this.root = root;
    this.settings = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".log");
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  String peerAddress() {
    return "127.0.0.1:" + peerPort;
  }

  Path settings() {
    return settings;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void start() throws IOException {
    String run =
        Files.readAllLines(root.resolve("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run"))
            .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
            .findFirst()
            .orElseThrow();
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    command.add(settings.toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    Log.line("controller %s starts", name);
  }

  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor();
      Log.line("controller %s is killed", name);
    }
  }

  boolean isLeading() {
    return isAlive()
        && Http.send("GET", peerAddress(), "/admin/status", (byte[]) null, 1)
            .body()
            .path("leading")
            .asBoolean();
  }
}
