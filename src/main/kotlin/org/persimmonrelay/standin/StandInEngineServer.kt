package org.persimmonrelay.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.Json
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRoutes
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.OutputChunk
import java.util.concurrent.ConcurrentHashMap

/** HTTP server of a [StandInEngine] on loopback. */
public class StandInEngineServer(private val standIn: StandInEngine, private val port: Int = 0) : AutoCloseable {
    private val headers = ConcurrentHashMap.newKeySet<String>()
    private val server =
        embeddedServer(Netty, configure = {
            connector {
                host = LOOPBACK
                port = this@StandInEngineServer.port
            }
            responseWriteTimeoutSeconds = 0
        }) { module() }

    /** `ip:port`; set by [start]. */
    public lateinit var address: String
        private set

    /** All request headers as `name: value`; tests check that no caller's key is among them. */
    public val receivedHeaders: Set<String> get() = headers.toSet()

    /** Starts the server and returns its address as `ip:port`. */
    public suspend fun start(): String {
        server.startSuspend(wait = false)
        address = "$LOOPBACK:${server.engine.resolvedConnectors().first().port}"
        return address
    }

    /** Crashes the engine, closes all connections and stops listening. */
    public fun crash() {
        standIn.crash()
        server.stop(0, 0)
    }

    override fun close() {
        server.stop(QUIET_PERIOD_MILLIS, STOP_TIMEOUT_MILLIS)
    }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            post(EngineRoutes.GENERATE) { generate(call) }
            get(EngineRoutes.LOAD) {
                sendJson(call, Json.encodeToString(EngineLoadReport.serializer(), standIn.loadReport()))
            }
            post(EngineRoutes.ORDERS) {
                val result = standIn.execute(Json.decodeFromString(EngineCommand.serializer(), call.receiveText()))
                sendJson(call, Json.encodeToString(EngineCommandResult.serializer(), result))
            }
        }
    }

    private suspend fun generate(call: ApplicationCall) {
        call.request.headers.forEach { name, values -> values.forEach { headers.add("$name: $it") } }
        standIn.generate(Json.decodeFromString<GenerateRequest>(call.receiveText())).fold(
            ifLeft = { call.respondText(it, status = HttpStatusCode.ServiceUnavailable) },
            ifRight = { chunks -> call.respondBytesWriter(ContentType.Text.EventStream) { write(chunks) } },
        )
    }

    private suspend fun ByteWriteChannel.write(chunks: Flow<OutputChunk>) = chunks.collect { chunk ->
        writeStringUtf8(EngineRoutes.EVENT_PREFIX + Json.encodeToString(OutputChunk.serializer(), chunk) + "\n\n")
        flush()
    }

    private suspend fun sendJson(call: ApplicationCall, text: String) =
        call.respondText(text, ContentType.Application.Json)

    private companion object {
        const val QUIET_PERIOD_MILLIS = 50L
        const val STOP_TIMEOUT_MILLIS = 500L
        const val LOOPBACK = "127.0.0.1"
    }
}
