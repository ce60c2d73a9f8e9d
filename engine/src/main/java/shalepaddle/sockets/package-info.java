/**
 * TCP sockets whose system calls may fail for a moment: what the transport takes for the end of a
 * connection, or answers with a long pause, is retried here. Each socket is owned by its event
 * loop. This package calls Netty alone.
 */
package shalepaddle.sockets;
