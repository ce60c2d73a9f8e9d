package shalepaddle.storage;

import java.io.IOException;
import java.util.List;

/** Forwards each call that is not overridden to another directory. */
interface ForwardingLogDirectory extends LogDirectory {
  /** The directory to which calls are forwarded. */
  LogDirectory delegate();

  @Override
  default List<String> fileNames() throws IOException {
    return delegate().fileNames();
  }

  @Override
  default byte[] read(String name) throws IOException {
    return delegate().read(name);
  }

  @Override
  default void rename(String oldName, String newName) throws IOException {
    delegate().rename(oldName, newName);
  }

  @Override
  default void delete(String name) throws IOException {
    delegate().delete(name);
  }

  @Override
  default void syncDirectory() throws IOException {
    delegate().syncDirectory();
  }

  @Override
  default String location() {
    return delegate().location();
  }

  @Override
  default void close() throws IOException {
    delegate().close();
  }
}
