/**
 * Which reads share one answer: decisions alone, without threads, sockets or clock. Why, and what
 * was weighed against it: {@code docs/design/request-coalescing.md}.
 */
package shalepaddle.coalescing;
