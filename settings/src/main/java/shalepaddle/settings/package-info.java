/**
 * The format of the settings in configuration files and in the simulator's {@code LAUNCH} message.
 * Stateless; may call only {@link shalepaddle.model}. The table maps external names to components
 * of {@code Settings}:
 *
 * <table>
 *   <caption>Name in the file or message, and the component of {@code Settings}</caption>
 *   <tr><td>azs</td><td>zones</td></tr>
 *   <tr><td>my-number</td><td>instanceNumber</td></tr>
 *   <tr><td>discovery: ask</td><td>pollsEndpointList</td></tr>
 *   <tr><td>clients.marks-retry</td><td>clientsMarkRetries</td></tr>
 *   <tr><td>weight-kind: silent, nominal, rough, live</td><td>weights</td></tr>
 *   <tr><td>over-share-worth</td><td>overQuotaWeightRatio</td></tr>
 *   <tr><td>period</td><td>timerResolutionSeconds</td></tr>
 *   <tr><td>family-info.mode: aside</td><td>cache.lookAside</td></tr>
 *   <tr><td>family-info.origin-kind</td><td>cache.originKind</td></tr>
 *   <tr><td>family-info.origin-fall-multiple</td><td>cache.originOverloadRatio</td></tr>
 *   <tr><td>family-info.origin-fall</td><td>cache.originOverloadSeconds</td></tr>
 *   <tr><td>caps.attempts-cap</td><td>limits.maxAttempts</td></tr>
 *   <tr><td>caps.parallel-tries</td><td>limits.allowsParallelAttempts</td></tr>
 *   <tr><td>caps.cancel</td><td>limits.allowsCancellation</td></tr>
 *   <tr><td>caps.probing</td><td>limits.allowsHealthChecks</td></tr>
 *   <tr><td>caps.may-tell</td><td>limits.allowsGossip</td></tr>
 *   <tr><td>caps.retry-after</td><td>limits.sendsRetryAfter</td></tr>
 *   <tr><td>caps.max-retry-after</td><td>limits.maxRetryAfterSeconds</td></tr>
 *   <tr><td>caps.connect-timeout</td><td>limits.connectTimeoutSeconds</td></tr>
 *   <tr><td>caps.conn-idle</td><td>limits.idleTimeoutSeconds</td></tr>
 *   <tr><td>caps.multiplex</td><td>limits.maxAttemptsPerConnection</td></tr>
 *   <tr><td>contract.grace-to-answer</td><td>contract.responseGraceSeconds</td></tr>
 *   <tr><td>contract.ask-within</td><td>contract.maxPollIntervalSeconds</td></tr>
 *   <tr><td>contract.drain-grace</td><td>contract.drainGraceSeconds</td></tr>
 *   <tr><td>contract.cold-from</td><td>contract.slowStartMinRatio</td></tr>
 *   <tr><td>contract.warm-within</td><td>contract.slowStartSeconds</td></tr>
 *   <tr><td>contract.overload-factor</td><td>contract.overloadRatio</td></tr>
 *   <tr><td>contract.overload-for</td><td>contract.overloadSeconds</td></tr>
 *   <tr><td>prices.waste</td><td>prices.wastedWork</td></tr>
 *   <tr><td>prices.late-fail</td><td>prices.lateFailure</td></tr>
 *   <tr><td>prices.origin</td><td>prices.originFetch</td></tr>
 *   <tr><td>prices.probe</td><td>prices.healthCheck</td></tr>
 *   <tr><td>prices.peer</td><td>prices.gossip</td></tr>
 *   <tr><td>services.slo</td><td>services.latencyObjectiveSeconds</td></tr>
 *   <tr><td>services.aim-stretch</td><td>services.objectivePerWorkSecond</td></tr>
 *   <tr><td>services.give-up</td><td>services.deadlineSeconds</td></tr>
 *   <tr><td>services.credit</td><td>services.priorityWeight</td></tr>
 *   <tr><td>services.late-share</td><td>services.lateWeightRatio</td></tr>
 *   <tr><td>services.effect: retryable, dedup, fragile</td><td>services.idempotency</td></tr>
 *   <tr><td>services.group</td><td>services.deduplicationScope</td></tr>
 *   <tr><td>services.repeat-window</td><td>services.idempotencyWindowSeconds</td></tr>
 *   <tr><td>tenants.share</td><td>tenants.capacityRatio</td></tr>
 *   <tr><td>tenants.quota-per-s</td><td>tenants.quotaPerSecond</td></tr>
 * </table>
 *
 * <p>All other names are the same in both. Times are in seconds.
 */
package shalepaddle.settings;
