/**
 * The operators' door: HTTP on a thread of its own. It reads what the request loop has published
 * and hands commands to it; it never touches the loop's state, and never waits for it without a
 * bound.
 */
package shalepaddle.admin;
