package org.persimmonrelay.routing

import kotlinx.serialization.Serializable
import org.persimmonrelay.engine.EngineProfile

/**
 * Settings of routing, admission and retries of one deployment on one node.
 *
 * [region] is the node's own. [reportLagSeconds] is how old load reports are when they arrive.
 * [engineQueueSeconds] bounds the prefill backlog that a node gives to an engine; what is beyond waits in the
 * node, where fair share and deadlines still apply. [regionSeconds] is the price of leaving the region, as
 * seconds of waiting. [samples] is the count of candidates drawn at random. An engine whose reports stopped
 * [silentSeconds] before those of others gets no work.
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
 * Settings of retries. Each start earns [budgetShare] of a retry, up to [budgetMost]; the first attempt after a
 * lost engine is free. Waits double from [backoffMillis], with jitter.
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
