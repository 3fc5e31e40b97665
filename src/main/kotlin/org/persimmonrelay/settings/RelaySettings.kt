package org.persimmonrelay.settings

import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a forwarding node, read at start and at each reload. Changes of addresses need a restart. [peers] is the
 * UDP address that receives datagrams of other nodes.
 */
public data class RelaySettings(
    val node: NodeId,
    val domain: FailureDomain,
    val region: Region,
    val regions: Map<FailureDomain, Region>,
    val callers: ListenSettings,
    val readiness: ListenSettings,
    val metrics: ListenSettings,
    val peers: ListenSettings,
    val bounds: RelayBounds,
)

/**
 * Limits set by operators.
 *
 * [grace] is the time from the stop signal to the end of the process. [keyBound], if not null, limits how long keys
 * are accepted without contact to the store. [lease] is the shortest time in which a duty may change its holder twice.
 * Usage is reported for each [usageWindow], at most [usageDue] after its end. Retries are limited to [retryRatio] of
 * the requests plus [retryMinimum] in each [retryWindow].
 */
public data class RelayBounds(
    val grace: Duration = 8.seconds,
    val keyBound: Duration? = null,
    val lease: Duration = 3.seconds,
    val usageWindow: Duration = 5.seconds,
    val usageDue: Duration = 10.seconds,
    val retryRatio: Double = 0.2,
    val retryMinimum: Int = 10,
    val retryWindow: Duration = 10.seconds,
)
