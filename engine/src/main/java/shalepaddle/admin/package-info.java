/**
 * The admin server for operators: HTTP on an event loop and thread of its own, which owns all state
 * of this package.
 *
 * <p>It reads snapshots that the node's event loop has published and hands commands to that loop
 * through {@link shalepaddle.admin.AdminOperations}. It never touches the loop's state and waits
 * for it no longer than a bound. It may call {@code diagnostics}, {@code engine} (their snapshots)
 * and {@code sockets}.
 */
package shalepaddle.admin;
