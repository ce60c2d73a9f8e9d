package shalepaddle.overload;

/** What a process can run short of, each with its own measures. */
public enum Resource {
  /** Processor time: requests wait for the event loop. */
  CPU,
  /** Memory, on the heap or outside of it. */
  MEMORY,
  /** File descriptors, sockets among them. */
  DESCRIPTORS
}
