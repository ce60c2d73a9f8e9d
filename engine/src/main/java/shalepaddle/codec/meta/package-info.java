/**
 * The memcache meta protocol, between clients and this node and between this node and cache
 * servers. Decodes {@link shalepaddle.front.ClientCommand} and {@link
 * shalepaddle.engine.ServerReply}, and encodes {@link shalepaddle.engine.Reply} and {@link
 * shalepaddle.engine.Call}. The names on the wire are mapped to the terms of the code only in
 * {@code WireNames} and {@code LoadReportParser}:
 *
 * <table>
 * <caption>Names on the wire</caption>
 * <tr><th>wire</th><th>where</th><th>term</th></tr>
 * <tr><td>{@code mg}, {@code ms}</td><td>command</td><td>read, write</td></tr>
 * <tr><td>{@code mn}, {@code MN}</td><td>command and its response</td><td>health check</td></tr>
 * <tr><td>{@code O}</td><td>flag</td><td>request id</td></tr>
 * <tr><td>{@code P}</td><td>flag of a command</td><td>properties, {@code name=value} each</td></tr>
 * <tr><td>{@code c}, {@code t}</td><td>property</td><td>service class, tenant</td></tr>
 * <tr><td>{@code d}</td><td>property</td><td>deadline, in ms; time-out towards a server</td></tr>
 * <tr><td>{@code k}</td><td>property</td><td>idempotency key</td></tr>
 * <tr><td>{@code r=1}</td><td>property</td><td>the request is a client's retry</td></tr>
 * <tr><td>{@code h}</td><td>property</td><td>estimated work, in microseconds</td></tr>
 * <tr><td>{@code size}</td><td>property</td><td>expected size of the value, in bytes</td></tr>
 * <tr><td>{@code VA}, {@code HD}</td><td>reply</td>
 *     <td>value of a read, receipt (token that confirms) of a write</td></tr>
 * <tr><td>{@code c}</td><td>flag of a reply</td><td>receipt</td></tr>
 * <tr><td>{@code SERVER_ERROR busy}</td><td>reply</td>
 *     <td>rejected, with Retry-After in ms</td></tr>
 * <tr><td>{@code SERVER_ERROR}</td><td>reply</td><td>failed</td></tr>
 * <tr><td>{@code h1}, {@code h0}</td><td>flag of a reply</td><td>cache hit, cache miss</td></tr>
 * <tr><td>{@code Z}</td><td>flag of a reply</td><td>miss with a fetch in flight</td></tr>
 * <tr><td>{@code L}</td><td>flag of a reply</td><td>load report</td></tr>
 * <tr><td>{@code inflight}, {@code active}</td><td>load</td><td>requests in flight</td></tr>
 * <tr><td>{@code queue}, {@code waiting}</td><td>load</td><td>queued requests</td></tr>
 * <tr><td>{@code util}, {@code cpu}</td><td>load</td><td>CPU utilization, 0 to 1</td></tr>
 * <tr><td>{@code latency_ms}, {@code avg_ms}</td><td>load</td><td>mean latency, in ms</td></tr>
 * <tr><td>{@code qps}, {@code rps}</td><td>load</td><td>requests per second</td></tr>
 * <tr><td>{@code eps}, {@code err_rps}</td><td>load</td><td>errors per second</td></tr>
 * </table>
 *
 * <p>Each decoder belongs to one connection, each codec to one front or to all pools; all are used
 * on the event loop. The package may call the interfaces of front and upstream, the engine's calls
 * and replies, and the model. It does not depend on connections or on the policy.
 */
package shalepaddle.codec.meta;
