package org.persimmonrelay.admin

import arrow.core.Either
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.createRouteScopedPlugin
import io.ktor.server.application.install
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import org.persimmonrelay.catalog.CatalogJson
import org.persimmonrelay.settings.ListenSettings
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/** HTTP server of the administration API. [routes] are installed below `/admin/v1`, protected by [authenticator]. */
public class AdminServer(
    private val listen: ListenSettings,
    private val authenticator: OperatorAuthenticator,
    private val routes: List<AdminRoutes>,
    private val events: EventSink,
) {
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(
            factory = Netty,
            configure = {
                connector {
                    host = listen.host
                    port = listen.port
                }
                workerGroupSize = WORKER_THREADS
                callGroupSize = CALL_THREADS
            },
        ) {
            routing {
                route(BASE_PATH) {
                    install(operatorsOnly())
                    routes.forEach { it.installIn(this) }
                }
            }
        }

    /** The Ktor application, for tests that inspect its routes. */
    internal val application
        get() = server.application

    /** Starts to listen and returns the port. */
    public suspend fun start(): Int {
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().first().port
        events.record(AdminEvent.ADMIN_LISTENING, "host" with listen.host, "port" with port)
        return port
    }

    /** Waits for requests in flight for a short time, then stops. */
    public suspend fun stop() {
        server.stopSuspend(STOP_GRACE_MILLIS, STOP_LIMIT_MILLIS)
        events.record(AdminEvent.ADMIN_STOPPED)
    }

    private fun operatorsOnly() = createRouteScopedPlugin("OperatorsOnly") {
        onCall { call ->
            val result = authenticator.authenticate(call.request.headers[HttpHeaders.Authorization])
            if (result is Either.Left) {
                events.record(AdminEvent.ADMIN_REFUSED, "reason" with result.value.message)
                val error = AdminErrors.responseTo(result.value)
                val body = CatalogJson.output.encodeToString(AdminErrorResponse.serializer(), error.body)
                call.respondText(body, ContentType.Application.Json, error.status)
            }
        }
    }

    private companion object {
        const val BASE_PATH = "/admin/v1"
        const val WORKER_THREADS = 1
        const val CALL_THREADS = 2
        const val STOP_GRACE_MILLIS = 100L
        const val STOP_LIMIT_MILLIS = 3_000L
    }
}
