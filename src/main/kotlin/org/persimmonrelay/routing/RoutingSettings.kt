package org.persimmonrelay.routing

import kotlinx.serialization.Serializable
import org.persimmonrelay.engine.EngineProfile

/**
 * Settings of routing, admission and retries of one deployment on one node.
 *
 * [region] is the node's region. [betweenTokensMillis] limits the time between tokens. [reportLagSeconds] is the age of
 * load reports on arrival. [engineQueueSeconds] limits the prefill backlog that a node sends to an engine; further
 * requests wait in the node, where fair shares and deadlines still apply. [regionSeconds] is the cost of using another
 * region, in seconds of waiting. [samples] is the number of candidates drawn at random. An engine without reports for
 * [silentSeconds] while other engines report gets no requests.
 */
@Serializable
public data class RoutingSettings(
    val region: String = "",
    val engine: EngineProfile = EngineProfile(),
    val betweenTokensMillis: Double = 100.0,
    val reportLagSeconds: Double = 0.5,
    val engineQueueSeconds: Double = 0.3,
    val regionSeconds: Double = 0.05,
    val samples: Int = 2,
    val silentSeconds: Double = 4.0,
    val maxWaitingPerWorkspace: Int = 2_000,
    val retry: RetrySettings = RetrySettings(),
    val outlier: OutlierSettings = OutlierSettings(),
)

/**
 * Settings of retries. Each started request adds [budgetShare] of a retry to the budget, up to [budgetMost]; the first
 * retry of a request is free. The backoff doubles from [backoffMillis], with jitter. A retry that waits for
 * [giveUpSeconds] fails.
 */
@Serializable
public data class RetrySettings(
    val budgetShare: Double = 0.1,
    val budgetMost: Double = 50.0,
    val maxAttempts: Int = 4,
    val backoffMillis: Double = 50.0,
    val giveUpSeconds: Double = 15.0,
)

/** Settings of outlier ejection: at most [maxShare] of the servers is ejected, and never the last one. */
@Serializable
public data class OutlierSettings(
    val consecutiveFailures: Int = 3,
    val ejectSeconds: Double = 5.0,
    val maxEjectSeconds: Double = 60.0,
    val maxShare: Double = 0.34,
)
