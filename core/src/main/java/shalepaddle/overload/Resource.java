package shalepaddle.overload;

/** A resource that a process can run short of; each has its own countermeasures. */
public enum Resource {
  /** Processor time: requests wait for the event loop. */
  CPU,
  /** Memory, on the heap or off-heap. */
  MEMORY,
  /** File descriptors, including sockets. */
  DESCRIPTORS
}
