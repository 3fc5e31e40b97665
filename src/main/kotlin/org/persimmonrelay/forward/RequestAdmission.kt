package org.persimmonrelay.forward

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import arrow.core.right
import org.persimmonrelay.backend.RequestProfile
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.route.ActiveRouteTable
import org.persimmonrelay.route.ConfiguredWorkspace
import org.persimmonrelay.route.Route
import org.persimmonrelay.route.RouteTable
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request that is not admitted. [id] is null when the request has none. */
internal data class Denied(val id: String?, val refusal: Refusal.NotRun)

/**
 * Decides whether the configuration in force allows a request, and for which workspace.
 *
 * [maxKeyStaleness] returns how long keys are accepted while the store does not confirm that none was withdrawn; null
 * means no limit.
 */
internal class RequestAdmission(
    private val tables: ActiveRouteTable,
    private val headerCodec: HeaderCodec,
    private val maxKeyStaleness: () -> Duration?,
) {
    fun admit(exchange: CallerExchange, now: Moment): Either<Denied, ForwardedRequest> {
        val attributes = headerCodec.parseRequest(exchange.head)
            ?: return Denied(null, malformed("The request has no id; send one with each request.")).left()
        return admit(exchange, attributes, now).mapLeft { Denied(attributes.id, it) }
    }

    private fun admit(exchange: CallerExchange, attributes: RequestAttributes, now: Moment) = either {
        val table = ensureNotNull(tables.current) { notReady() }
        val host = exchange.head.headers.get(HOST).orEmpty()
        val route = ensureNotNull(table.match(host, exchange.head.path)) { unknownRoute() }
        val workspace = workspaceFor(table, route, attributes, now).bind()
        val id = route.serviceFor(attributes.id.hashCode())
        val service = ensureNotNull(table.services[id]) { noService() }
        val timeout = minOf(route.timeout, attributes.callerTimeout ?: route.timeout)
        ForwardedRequest(
            exchange = exchange,
            attributes = attributes,
            route = route,
            service = service,
            workspace = workspace,
            profile = profileFor(service.engine != null, id, attributes, contentHash(exchange, workspace?.id)),
            configVersion = table.version,
            deadline = exchange.arrivedAt + timeout,
        )
    }

    private fun profileFor(
        isEngine: Boolean,
        service: ServiceId,
        attributes: RequestAttributes,
        contentHash: String,
    ): RequestProfile {
        val plain = RequestProfile(service, seed = attributes.id.hashCode(), contentHash = contentHash)
        if (!isEngine) return plain
        return plain.copy(
            prompt = attributes.prompt,
            promptTokens = attributes.promptTokens,
            outputTokens = attributes.outputTokens,
        )
    }

    private fun workspaceFor(
        table: RouteTable,
        route: Route,
        attributes: RequestAttributes,
        now: Moment,
    ): Either<Refusal.NotRun, ConfiguredWorkspace?> {
        val workspace = attributes.apiKey?.let(table::workspaceOf)
        return when {
            !table.keysRequired || route.allowsAnonymous -> workspace.right()
            keysAreStale(now) -> staleKeys().left()
            workspace == null -> invalidKey().left()
            else -> workspace.right()
        }
    }

    private fun keysAreStale(now: Moment): Boolean {
        val maxStaleness = maxKeyStaleness() ?: return false
        val confirmed = tables.confirmedAt ?: return true
        return now - confirmed > maxStaleness
    }

    private fun malformed(message: String) = Refusal.NotRun(NotRunReason.BAD_REQUEST, message)

    private fun notReady() = Refusal.NotRun(
        NotRunReason.STORE_UNAVAILABLE,
        "This node has no configuration yet; ask again shortly.",
        RETRY_AFTER,
    )

    private fun unknownRoute() =
        Refusal.NotRun(NotRunReason.UNKNOWN_ROUTE, "No route leads there; check host name and path.")

    private fun noService() = Refusal.NotRun(
        NotRunReason.NO_SERVER,
        "The route's service is not configured; ask the operators.",
        RETRY_AFTER,
    )

    private fun invalidKey() = Refusal.NotRun(
        NotRunReason.INVALID_KEY,
        "The key is missing, unknown or was withdrawn; use a valid one or ask the operators for a new one.",
    )

    private fun staleKeys() = Refusal.NotRun(
        NotRunReason.KEY_STATE_UNKNOWN,
        "This node can't tell whether the key is still valid; ask again shortly.",
        RETRY_AFTER,
    )

    private companion object {
        const val HOST = "Host"
        val RETRY_AFTER = 500.milliseconds
    }
}
