package shalepaddle.storage;

import java.io.IOException;
import java.util.List;

/** A disk before another one, which does all that is not done otherwise here. */
interface ForwardingLogDirectory extends LogDirectory {
  /** The disk behind it. */
  LogDirectory disk();

  @Override
  default List<String> names() throws IOException {
    return disk().names();
  }

  @Override
  default byte[] read(String name) throws IOException {
    return disk().read(name);
  }

  @Override
  default void rename(String from, String to) throws IOException {
    disk().rename(from, to);
  }

  @Override
  default void delete(String name) throws IOException {
    disk().delete(name);
  }

  @Override
  default void syncNames() throws IOException {
    disk().syncNames();
  }

  @Override
  default String location() {
    return disk().location();
  }

  @Override
  default void close() throws IOException {
    disk().close();
  }
}
