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

/** A refusal with the id of the request that it answers, when it had one. */
internal data class GateRefusal(val id: String?, val refusal: Refusal.NotRun)

/**
 * Decides whether the configuration in force allows a request, and for whom.
 *
 * [keyBound], when given, is how long keys are accepted without a word from the store that none was withdrawn.
 */
internal class CallGate(
    private val tables: ActiveRouteTable,
    private val dialect: HeaderCodec,
    private val keyBound: () -> Duration?,
) {
    fun admit(exchange: CallerExchange, now: Moment): Either<GateRefusal, ForwardedCall> {
        val attributes = dialect.parseRequest(exchange.head)
            ?: return GateRefusal(null, malformed("The request has no id; send one with each request.")).left()
        return admit(exchange, attributes, now).mapLeft { GateRefusal(attributes.id, it) }
    }

    private fun admit(exchange: CallerExchange, attributes: RequestAttributes, now: Moment) = either {
        val table = ensureNotNull(tables.current) { notReady() }
        val host = exchange.head.headers.get(HOST).orEmpty()
        val route = ensureNotNull(table.match(host, exchange.head.path)) { unknownRoute() }
        val workspace = workspaceFor(table, route, attributes, now).bind()
        val id = route.serviceFor(attributes.id.hashCode())
        val service = ensureNotNull(table.services[id]) { noService() }
        val patience = minOf(route.timeout, attributes.callerTimeout ?: route.timeout)
        ForwardedCall(
            exchange = exchange,
            attributes = attributes,
            route = route,
            service = service,
            workspace = workspace,
            work = workFor(service.engine != null, id, attributes),
            configVersion = table.version,
            deadline = exchange.arrivedAt + patience,
        )
    }

    private fun workFor(isEngine: Boolean, service: ServiceId, attributes: RequestAttributes): RequestProfile {
        val seed = attributes.id.hashCode()
        if (!isEngine) return RequestProfile(service, seed = seed)
        return RequestProfile(service, attributes.prompt, attributes.promptTokens, attributes.outputTokens, seed)
    }

    private fun workspaceFor(
        table: RouteTable,
        route: Route,
        attributes: RequestAttributes,
        now: Moment,
    ): Either<Refusal.NotRun, ConfiguredWorkspace?> {
        val holder = attributes.apiKey?.let(table::workspaceOf)
        return when {
            !table.keysRequired || route.allowsAnonymous -> holder.right()
            keysAreStale(now) -> staleKeys().left()
            holder == null -> invalidKey().left()
            else -> holder.right()
        }
    }

    private fun keysAreStale(now: Moment): Boolean {
        val bound = keyBound() ?: return false
        val confirmed = tables.confirmedAt ?: return true
        return now - confirmed > bound
    }

    private fun malformed(message: String) = Refusal.NotRun(NotRunReason.BAD_REQUEST, message)

    private fun notReady() = Refusal.NotRun(
        NotRunReason.STORE_UNAVAILABLE,
        "This node has no configuration yet; ask again shortly.",
        SHORTLY,
    )

    private fun unknownRoute() =
        Refusal.NotRun(NotRunReason.UNKNOWN_ROUTE, "No route leads there; check host name and path.")

    private fun noService() = Refusal.NotRun(
        NotRunReason.NO_SERVER,
        "The route's service is not configured; ask the operators.",
        SHORTLY,
    )

    private fun invalidKey() = Refusal.NotRun(
        NotRunReason.INVALID_KEY,
        "The key is missing, unknown or was withdrawn; use a valid one or ask the operators for a new one.",
    )

    private fun staleKeys() = Refusal.NotRun(
        NotRunReason.KEY_STATE_UNKNOWN,
        "This node can't tell whether the key is still valid; ask again shortly.",
        SHORTLY,
    )

    private companion object {
        const val HOST = "Host"
        val SHORTLY = 500.milliseconds
    }
}
