/**
 * The admin server for operators: HTTP on a separate event loop and thread, which owns all state of
 * this package.
 *
 * <p>It reads snapshots that the node's event loop has published and passes commands to that loop
 * through {@link shalepaddle.admin.AdminOperations}. It never accesses that loop's state, and waits
 * for it only for a bounded time. This package may call {@code diagnostics}, {@code engine} (their
 * snapshots) and {@code sockets}.
 */
package shalepaddle.admin;
