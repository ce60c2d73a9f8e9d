/**
 * Value types of the routing decisions: settings, requests, outcomes of attempts, the endpoint list
 * and load reports. Immutable and thread-safe; depends on no other package.
 */
package shalepaddle.model;
