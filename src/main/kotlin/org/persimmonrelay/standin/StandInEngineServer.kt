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

/** The HTTP face of a [StandInEngine] on loopback. */
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

    /** `ip:port` once started. */
    public lateinit var address: String
        private set

    /** Names and values of all headers that came in, to prove that no caller's key did. */
    public val receivedHeaders: Set<String> get() = headers.toSet()

    /** Starts to listen; returns the address. */
    public suspend fun start(): String {
        server.startSuspend(wait = false)
        address = "$LOOPBACK:${server.engine.resolvedConnectors().first().port}"
        return address
    }

    /** Cuts every connection and listens no more. */
    public fun crash() {
        standIn.crash()
        server.stop(0, 0)
    }

    override fun close() {
        server.stop(QUIET_MILLIS, STOP_MILLIS)
    }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            post(EngineRoutes.GENERATE) { generate(call) }
            get(EngineRoutes.LOAD) { json(call, Json.encodeToString(EngineLoadReport.serializer(), standIn.load())) }
            post(EngineRoutes.ORDERS) {
                val answer = standIn.order(Json.decodeFromString(EngineCommand.serializer(), call.receiveText()))
                json(call, Json.encodeToString(EngineCommandResult.serializer(), answer))
            }
        }
    }

    private suspend fun generate(call: ApplicationCall) {
        call.request.headers.forEach { name, values -> values.forEach { headers.add("$name: $it") } }
        standIn.generate(Json.decodeFromString<GenerateRequest>(call.receiveText())).fold(
            ifLeft = { call.respondText(it, status = HttpStatusCode.ServiceUnavailable) },
            ifRight = { pieces -> call.respondBytesWriter(ContentType.Text.EventStream) { write(pieces) } },
        )
    }

    private suspend fun ByteWriteChannel.write(pieces: Flow<OutputChunk>) = pieces.collect { piece ->
        writeStringUtf8(EngineRoutes.EVENT_PREFIX + Json.encodeToString(OutputChunk.serializer(), piece) + "\n\n")
        flush()
    }

    private suspend fun json(call: ApplicationCall, text: String) = call.respondText(text, ContentType.Application.Json)

    private companion object {
        const val QUIET_MILLIS = 50L
        const val STOP_MILLIS = 500L
        const val LOOPBACK = "127.0.0.1"
    }
}
