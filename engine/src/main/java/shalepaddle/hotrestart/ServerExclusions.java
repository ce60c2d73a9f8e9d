package shalepaddle.hotrestart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The last word on each server, whichever process of the node heard it. Merging is commutative,
 * associative and idempotent (a map of last-writer-wins registers), so that two processes that read
 * each other's words in any order, once or often, come to hold the same.
 *
 * <p>Bounded: past the bound the oldest word that puts a server back is forgotten, which changes
 * nothing but for a partner that has not heard it yet. Not thread-safe.
 */
public final class ServerExclusions {
  private static final int MAX_EXCLUSIONS = 4096;

  private final Map<Long, ServerExclusion> last = new LinkedHashMap<>();

  /** Takes a word; true if it is news. */
  public boolean record(ServerExclusion word) {
    ServerExclusion before = last.get(word.server());
    if (!word.supersedes(before)) {
      return false;
    }
    last.remove(word.server());
    last.put(word.server(), word);
    if (last.size() > MAX_EXCLUSIONS) {
      last.values().stream()
          .filter(old -> !old.excluded())
          .findFirst()
          .ifPresent(old -> last.remove(old.server()));
    }
    return before == null ? word.excluded() : before.excluded() != word.excluded();
  }

  /** Takes another process's words; returns those that change what holds. */
  public List<ServerExclusion> merge(Collection<ServerExclusion> others) {
    List<ServerExclusion> news = new ArrayList<>();
    for (ServerExclusion word : others) {
      if (record(word)) {
        news.add(word);
      }
    }
    return news;
  }

  /** All of them, oldest first. */
  public List<ServerExclusion> all() {
    return List.copyOf(last.values());
  }
}
