package org.persimmonrelay.standin

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing

/** HTTP server of a [StandInPlainService] on loopback. */
public class StandInPlainServer(private val service: StandInPlainService, private val port: Int = 0) : AutoCloseable {
    private val server =
        embeddedServer(Netty, configure = {
            connector {
                host = LOOPBACK
                port = this@StandInPlainServer.port
            }
            channelPipelineConfig = { addAfter(KTOR_CODEC, "lost-response", LostResponseHandler()) }
        }) { module() }

    /** `ip:port`; set by [start]. */
    public lateinit var address: String
        private set

    /** Starts the server and returns its address as `ip:port`. */
    public suspend fun start(): String {
        server.startSuspend(wait = false)
        address = "$LOOPBACK:${server.engine.resolvedConnectors().first().port}"
        return address
    }

    override fun close() {
        server.stop(QUIET_PERIOD_MILLIS, STOP_TIMEOUT_MILLIS)
    }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing { route("{path...}") { handle { respond(call) } } }
    }

    private suspend fun respond(call: ApplicationCall) {
        val headers = call.request.headers.entries().flatMap { (name, values) -> values.map { "$name: $it" } }
        val request =
            ReceivedServiceRequest(call.request.httpMethod.value, call.request.uri, headers, call.receiveText())
        val result =
            try {
                service.run(request)
            } catch (e: AnswerLost) {
                call.response.header(LostResponseHandler.MARKER, e.message.orEmpty())
                return call.respondText("")
            }
        call.response.header("X-Served-By", service.name)
        call.respondText(result.body, status = HttpStatusCode.fromValue(result.status))
    }

    private companion object {
        const val QUIET_PERIOD_MILLIS = 50L
        const val STOP_TIMEOUT_MILLIS = 500L
        const val LOOPBACK = "127.0.0.1"

        /** Name of the handler by which Ktor encodes responses. */
        const val KTOR_CODEC = "codec"
    }
}
