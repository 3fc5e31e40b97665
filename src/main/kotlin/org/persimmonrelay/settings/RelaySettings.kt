package org.persimmonrelay.settings

import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a forwarding node is told at its start and at each reload. Addresses are in force from the start only; [peers]
 * is where datagrams of other nodes arrive.
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
 * Bounds that the operators set.
 *
 * [grace] is the time from the signal to stop to the end of the process. [keyBound], when given, is how long keys
 * are accepted without word from the store. [lease] is the shortest time within which duties may change hands twice.
 * Usage is reported for each [usageWindow], at most [usageDue] after its end. Sends beyond the first of each request
 * stay within [retryRatio] of the requests plus [retryMinimum] in each [retryWindow].
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
