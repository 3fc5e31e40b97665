/*
 * Routes map callers' requests to services of backend servers. An operator's configuration is one immutable RouteTable
 * with a version; a node accepts only higher versions.
 */
package org.persimmonrelay.route

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.WorkspaceId
import kotlin.time.Duration

/** Name of a service, a group of backend servers that serve the same requests. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Whether requests of a route may be retried. */
public sealed interface RouteKind {
    /** A request may run more than once. */
    public data object Idempotent : RouteKind

    /** A request runs at most once. */
    public data object NonIdempotent : RouteKind

    /**
     * The response is a stream of events. A request runs at most once, unless [resumable]: then another server may
     * continue after the last event. A pause of more than [pauseTarget] between events counts as late.
     */
    public data class Streaming(val resumable: Boolean, val pauseTarget: Duration) : RouteKind
}

/** A service and its share of a route's requests, relative to the weights of the route's other services. */
public data class WeightedService(val service: ServiceId, val weight: Int)

/**
 * Maps requests with a host name and a path prefix to services.
 *
 * [maxAttempts] is the number of servers that one request may run on. [timeout] is the time for the whole request,
 * [latencyTarget] the response time to aim for. [priority] 0 is the most urgent. Requests need an API key unless
 * [allowsAnonymous].
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
    /** Chooses by weight the service for a request whose id has the hash code [hash]. */
    public fun serviceFor(hash: Int): ServiceId {
        val total = services.sumOf { it.weight }
        if (total <= 0) return services.first().service
        var remaining = Math.floorMod(hash, total)
        for (share in services) {
            remaining -= share.weight
            if (remaining < 0) return share.service
        }
        return services.last().service
    }

    /** True if a request that may have run can be sent again. */
    public val isRetryable: Boolean
        get() = when (kind) {
            is RouteKind.Idempotent -> true
            is RouteKind.NonIdempotent -> false
            is RouteKind.Streaming -> kind.resumable
        }
}

/** A workspace in the configuration. [priority], if given, overrides that of the route. */
public data class ConfiguredWorkspace(val id: WorkspaceId, val priority: Int?)
