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

/** Checks that each link between the project's pages names an existing file and heading. */
class DocumentationTest {
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#\\s]*)(?:#([^)\\s]*))?\\)");
  private static final Pattern HEADING = Pattern.compile("^#+ +(.*)$", Pattern.MULTILINE);

  @Test
  void linksBetweenPagesNameExistingFilesAndHeadings() throws IOException {
    List<String> brokenLinks = new ArrayList<>();
    int linkCount = 0;
    for (Path page : pages()) {
      Matcher link = LINK.matcher(Files.readString(page));
      while (link.find()) {
        String target = link.group(1);
        if (target.contains(":")) {
          continue;
        }
        linkCount++;
        Path file = target.isEmpty() ? page : page.resolveSibling(target).normalize();
        if (!Files.exists(file) || !hasHeading(file, link.group(2))) {
          brokenLinks.add(page + ": " + link.group());
        }
      }
    }
    assertTrue(linkCount > 50, "expected more than 50 links, found " + linkCount);
    assertEquals(List.of(), brokenLinks);
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
        .anyMatch(heading -> toAnchor(heading.group(1)).equals(anchor));
  }

  /** Returns a heading's anchor: lower case, without punctuation, words joined by hyphens. */
  private static String toAnchor(String heading) {
    return heading
        .toLowerCase(Locale.ROOT)
        .replaceAll("[^\\p{L}\\p{N} _-]", "")
        .strip()
        .replace(' ', '-');
  }
}
