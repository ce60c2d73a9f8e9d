/**
 * The adapter of the simulator's protocol: reads its events, passes them to request routers and
 * writes their actions. Single-threaded; may call {@code policy}, {@code model} and {@code
 * settings}. The table maps the names of the protocol to those of the code:
 *
 * <table>
 *   <caption>Name in the protocol, and its meaning</caption>
 *   <tr><td>LAUNCH, DETACH</td><td>creates, removes an instance</td></tr>
 *   <tr><td>SYNC</td><td>{@code onMembershipUpdate}</td></tr>
 *   <tr><td>REQUEST</td><td>{@code onRequest}</td></tr>
 *   <tr><td>FLOWING</td><td>{@code onStreamStarted}</td></tr>
 *   <tr><td>FINISHED</td><td>{@code onOutcome}</td></tr>
 *   <tr><td>DROPPED</td><td>{@code onClientDisconnected}</td></tr>
 *   <tr><td>DEADLINE_HIT</td><td>{@code onTimer}</td></tr>
 *   <tr><td>HEALTH_RESULT</td><td>result of a health check, ignored</td></tr>
 *   <tr><td>WHISPER</td><td>gossip, ignored</td></tr>
 *   <tr><td>OVER_TO_YOU, DONE</td><td>end of a batch, end of its reply</td></tr>
 *   <tr><td>PASS_ON</td><td>{@code send}</td></tr>
 *   <tr><td>REVOKE</td><td>{@code cancel}</td></tr>
 *   <tr><td>BUSY</td><td>{@code reject}</td></tr>
 *   <tr><td>ERROR</td><td>{@code fail}</td></tr>
 *   <tr><td>WAKE_ME</td><td>{@code scheduleTimer}</td></tr>
 *   <tr><td>SHUT_IDLE</td><td>{@code closeIdleConnections}</td></tr>
 *   <tr><td>handle</td><td>request id</td></tr>
 *   <tr><td>trial</td><td>attempt number</td></tr>
 *   <tr><td>key-back</td><td>timer token</td></tr>
 *   <tr><td>cool-down</td><td>Retry-After in seconds</td></tr>
 *   <tr><td>ending: completed, errored, saturated</td><td>OK, ERROR, SERVER_BUSY</td></tr>
 *   <tr><td>ending: overdue, refused_conn, severed</td><td>TIMEOUT, CONNECT_FAILED, RESET</td></tr>
 *   <tr><td>ending: recalled, superseded, lookup_miss</td>
 *       <td>CANCELLED, NOT_SENT, CACHE_MISS</td></tr>
 *   <tr><td>info: 1, 2, 3</td><td>HIT, MISS, MISS_PENDING</td></tr>
 *   <tr><td>pressure</td><td>load report</td></tr>
 *   <tr><td>form: delta, full, cached, failed</td><td>kind of a membership update</td></tr>
 *   <tr><td>lines.heft, up-since, unit-group, machine, health</td>
 *       <td>weight, startedAtSeconds, cell, kind, state</td></tr>
 * </table>
 */
package shalepaddle.sim;
