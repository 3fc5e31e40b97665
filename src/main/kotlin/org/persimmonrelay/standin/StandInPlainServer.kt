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
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing

/** The HTTP face of a [StandInPlainService] on loopback. */
public class StandInPlainServer(private val service: StandInPlainService, private val port: Int = 0) : AutoCloseable {
    private val server =
        embeddedServer(Netty, configure = {
            connector {
                host = LOOPBACK
                port = this@StandInPlainServer.port
            }
        }) { module() }

    /** `ip:port` once started. */
    public lateinit var address: String
        private set

    /** Starts to listen; returns the address. */
    public suspend fun start(): String {
        server.startSuspend(wait = false)
        address = "$LOOPBACK:${server.engine.resolvedConnectors().first().port}"
        return address
    }

    override fun close() {
        server.stop(QUIET_MILLIS, STOP_MILLIS)
    }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing { route("{path...}") { handle { answer(call) } } }
    }

    private suspend fun answer(call: ApplicationCall) {
        val headers = call.request.headers.entries().flatMap { (name, values) -> values.map { "$name: $it" } }
        val request =
            CarriedOut(call.request.httpMethod.value, call.request.uri, headers, call.receiveText())
        val answer =
            try {
                service.run(request)
            } catch (e: AnswerLost) {
                // Failing inside the body breaks the connection where a thrown error would be answered.
                return call.respondBytesWriter { throw e }
            }
        call.response.header("X-Served-By", service.name)
        call.respondText(answer.body, status = HttpStatusCode.fromValue(answer.status))
    }

    private companion object {
        const val QUIET_MILLIS = 50L
        const val STOP_MILLIS = 500L
        const val LOOPBACK = "127.0.0.1"
    }
}
