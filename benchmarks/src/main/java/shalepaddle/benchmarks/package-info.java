/** Measures whole processes, which take turns within one run, and single decisions with JMH. */
package shalepaddle.benchmarks;
