/*
 * Routes lead callers' requests to services of backend servers. An operator's configuration is one immutable
 * RouteTable with a version; a node adopts higher versions only.
 */
package org.persimmonrelay.route

import org.persimmonrelay.identity.WorkspaceId
import kotlin.time.Duration

/** Name of a service: a group of backend servers that answer the same requests. */
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** What may be repeated on a route. */
public sealed interface RouteKind {
    /** A request may run more than once. */
    public data object Idempotent : RouteKind

    /** A request runs at most once. */
    public data object NonIdempotent : RouteKind

    /**
     * The answer is a series of events. A request runs at most once, unless [resumable]: then another server may go
     * on behind the last event. A pause over [pauseTarget] between events makes the answer late.
     */
    public data class Streaming(val resumable: Boolean, val pauseTarget: Duration) : RouteKind
}

/** A service with its share of a route's requests. */
public data class WeightedService(val service: ServiceId, val weight: Int)

/**
 * One way from a host name and a path to services.
 *
 * [maxAttempts] is the largest number of servers that one request may run on. [priority] 0 is the most urgent.
 */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val services: List<WeightedService>,
    val maxAttempts: Int,
    val timeout: Duration,
    val latencyTarget: Duration,
    val priority: Int,
    val allowsAnonymous: Boolean,
) {
    /** The service for a request whose id hashes to [hash]. */
    public fun serviceFor(hash: Int): ServiceId {
        val total = services.sumOf { it.weight }
        if (total <= 0) return services.first().service
        var left = Math.floorMod(hash, total)
        for (share in services) {
            left -= share.weight
            if (left < 0) return share.service
        }
        return services.last().service
    }

    /** True when a request may run again after it may have run. */
    public val isRetryable: Boolean
        get() = when (kind) {
            is RouteKind.Idempotent -> true
            is RouteKind.NonIdempotent -> false
            is RouteKind.Streaming -> kind.resumable
        }
}

/** A workspace as the configuration has it; [priority], when given, goes before that of the route. */
public data class ConfiguredWorkspace(val id: WorkspaceId, val priority: Int?)
