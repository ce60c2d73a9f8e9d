package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Every link between the project's pages leads to a file, and to a heading in it. */
class DocumentationTest {
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#\\s]*)(?:#([^)\\s]*))?\\)");
  private static final Pattern HEADING = Pattern.compile("^#+ +(.*)$", Pattern.MULTILINE);

  @Test
  void everyLinkLeadsToAFileAndAHeading() throws IOException {
    List<String> broken = new ArrayList<>();
    int links = 0;
    for (Path page : pages()) {
      Matcher link = LINK.matcher(Files.readString(page));
      while (link.find()) {
        String target = link.group(1);
        if (target.contains(":")) {
          continue;
        }
        links++;
        Path file = target.isEmpty() ? page : page.resolveSibling(target).normalize();
        if (!Files.exists(file) || !hasHeading(file, link.group(2))) {
          broken.add(page + ": " + link.group());
        }
      }
    }
    assertTrue(links > 50, "links found: " + links);
    assertEquals(List.of(), broken);
  }

  private static List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>();
    for (String page : List.of("README.md", "CONTRIBUTING.md", "benchmarks/README.md")) {
      pages.add(Path.of(page));
    }
    try (Stream<Path> files = Files.walk(Path.of("docs"))) {
      files.filter(file -> file.toString().endsWith(".md")).forEach(pages::add);
    }
    return pages;
  }

  private static boolean hasHeading(Path file, String anchor) throws IOException {
    if (anchor == null) {
      return true;
    }
    return HEADING
        .matcher(Files.readString(file))
        .results()
        .anyMatch(heading -> anchor(heading.group(1)).equals(anchor));
  }

  /** A heading's anchor: lower case, without punctuation, words joined by hyphens. */
  private static String anchor(String heading) {
    return heading
        .toLowerCase(Locale.ROOT)
        .replaceAll("[^\\p{L}\\p{N} _-]", "")
        .strip()
        .replace(' ', '-');
  }
}
