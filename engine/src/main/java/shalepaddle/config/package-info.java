/**
 * The configuration of a node, from the platform's JSON file and the operator's TOML file. The
 * files are validated completely when they are read; the results are immutable and may be read from
 * any thread. This package may call {@code settings}, {@code model}, {@code membership} and the
 * configurations of {@code overload} and {@code coalescing}.
 */
package shalepaddle.config;
