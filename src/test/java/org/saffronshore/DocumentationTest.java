package org.saffronshore;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The pages in docs cite tests as evidence. Every cited test must exist, also after tests are
 * renamed or moved.
 */
class DocumentationTest {
  private static final Path TESTS = Path.of("src/test/java");
  private static final Path PAGES = Path.of("docs");
  private static final Pattern NAMED_TEST = Pattern.compile("`(\\w+Test)\\.(\\w+)`");

  @Test
  void everyTestThatAPageNamesExists() throws IOException {
    Map<String, String> sources = sourcesByClass();
    List<String> missing = new ArrayList<>();
    for (Path page : files(PAGES, ".md")) {
      Matcher named = NAMED_TEST.matcher(Files.readString(page));
      while (named.find()) {
        String source = sources.getOrDefault(named.group(1), "");
        if (!source.contains("void " + named.group(2) + "(")) {
          missing.add(page + " cites " + named.group(1) + "." + named.group(2));
        }
      }
    }
    assertThat(missing).isEmpty();
  }

  private static Map<String, String> sourcesByClass() throws IOException {
    Map<String, String> sources = new HashMap<>();
    for (Path file : files(TESTS, ".java")) {
      String name = file.getFileName().toString().replace(".java", "");
      sources.put(name, Files.readString(file));
    }
    return sources;
  }

  private static List<Path> files(Path directory, String suffix) throws IOException {
    try (Stream<Path> files = Files.walk(directory)) {
      return files.filter(file -> file.toString().endsWith(suffix)).toList();
    }
  }
}
