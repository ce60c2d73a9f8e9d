/**
 * The values that decisions are made on: settings, requests, outcomes of attempts, the endpoint
 * list and load reports. Immutable, so any thread may use them; calls nothing else.
 */
package shalepaddle.model;
