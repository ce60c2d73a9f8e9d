/** The interactive command line: arguments, progress output, exit codes. */
package shalepaddle.cli;
