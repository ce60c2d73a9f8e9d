/**
 * TCP sockets that retry transient failures of system calls. Netty's transport would treat such a
 * failure as the end of a connection, or stop accepting for a second. Each socket is owned by its
 * event loop. The package depends only on Netty.
 */
package shalepaddle.sockets;
