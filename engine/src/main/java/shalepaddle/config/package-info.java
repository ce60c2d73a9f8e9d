/**
 * The configuration of a node, from the platform's JSON file and the operator's TOML file. Checked
 * completely when it is read; the results are immutable, and may be read from any thread. It may
 * call {@code settings}, {@code model}, {@code membership} and the configurations of {@code
 * overload} and {@code coalescing}.
 */
package shalepaddle.config;
