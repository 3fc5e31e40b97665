package org.persimmonrelay.standin

import arrow.core.Either
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.ObjectStore
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.ServerOrder
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.UsageReports
import org.persimmonrelay.platform.WeightStore
import org.persimmonrelay.platform.http.CommitMessage
import org.persimmonrelay.platform.http.HostsMessage
import org.persimmonrelay.platform.http.NamesMessage
import org.persimmonrelay.platform.http.ReadMessage
import org.persimmonrelay.platform.http.RowMessage
import org.persimmonrelay.platform.http.RowsMessage
import org.persimmonrelay.platform.http.ScanMessage
import org.persimmonrelay.platform.http.TransactionMessage
import org.persimmonrelay.platform.http.UsageMessage
import org.persimmonrelay.platform.http.WeightsMessage
import org.persimmonrelay.settings.PlatformSettings

/** The platform interfaces that a [StandInPlatformServer] serves. */
public class StandInPlatform(
    public val table: TableService,
    public val objects: ObjectStore,
    public val orders: ServerOrders,
    public val usage: UsageReports,
    public val hosts: HostList,
    public val weights: WeightStore,
)

/** Serves [platform] over HTTP on loopback; an unavailable interface gets status 503. */
public class StandInPlatformServer(private val platform: StandInPlatform) {
    private var server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>? = null

    /** Starts on [port] (0 selects a free port) and returns the platform part of the settings of a node. */
    public suspend fun start(port: Int = 0): PlatformSettings {
        val started =
            embeddedServer(Netty, port = port, host = HOST) {
                routing {
                    table()
                    objects()
                    otherInterfaces()
                }
            }
        started.start(wait = false)
        server = started
        val bound =
            started.engine
                .resolvedConnectors()
                .first()
                .port
        val base = "http://$HOST:$bound"
        return PlatformSettings(
            table = "$base/table",
            objects = "$base/objects",
            orders = "$base/orders",
            usage = "$base/usage",
            hosts = "$base/hosts",
            weights = "$base/weights",
        )
    }

    public fun stop() {
        server?.stop(0, 0)
    }

    private fun Route.table() {
        post("/table/read") {
            val message = JSON.decodeFromString(ReadMessage.serializer(), call.receiveText())
            call.sendResult(platform.table.read(message.keys).map { RowsMessage(it.map(RowMessage::of)) })
        }
        post("/table/scan") {
            val message = JSON.decodeFromString(ScanMessage.serializer(), call.receiveText())
            val rows = platform.table.scan(message.prefix, message.after, message.limit)
            call.sendResult(rows.map { RowsMessage(it.map(RowMessage::of)) })
        }
        post("/table/commit") {
            val message = JSON.decodeFromString(TransactionMessage.serializer(), call.receiveText())
            call.sendResult(platform.table.commit(message.toTransaction()).map(CommitMessage::of))
        }
    }

    private fun Route.objects() {
        get("/objects") {
            call.sendResult(platform.objects.list(call.request.queryParameters["prefix"].orEmpty()).map(::NamesMessage))
        }
        get("/objects/{name}") { call.sendObject(platform.objects.get(call.objectName())) }
        put("/objects/{name}") { call.sendResult(platform.objects.put(call.objectName(), call.receive<ByteArray>())) }
        delete("/objects/{name}") { call.sendResult(platform.objects.delete(call.objectName())) }
    }

    private fun Route.otherInterfaces() {
        post("/orders") {
            val order = JSON.decodeFromString(ServerOrder.serializer(), call.receiveText())
            call.sendResult(platform.orders.send(order), OrderAnswer.serializer())
        }
        post("/usage") {
            val message = JSON.decodeFromString(UsageMessage.serializer(), call.receiveText())
            call.sendResult(platform.usage.report(message.window, message.epoch, message.body))
        }
        get("/hosts") { call.sendResult(platform.hosts.hosts().map(::HostsMessage)) }
        get("/weights") { call.sendResult(platform.weights.loadsPerMinute().map(::WeightsMessage)) }
    }

    private fun ApplicationCall.objectName() = checkNotNull(parameters["name"])

    private suspend fun ApplicationCall.sendObject(found: Either<StoreUnavailable, ByteArray?>) {
        found.fold(
            { sendError(it) },
            { bytes ->
                if (bytes == null) {
                    respondText("no such object", status = HttpStatusCode.NotFound)
                } else {
                    respondBytes(bytes)
                }
            },
        )
    }

    private suspend inline fun <reified A> ApplicationCall.sendResult(result: Either<StoreUnavailable, A>) =
        result.fold({ sendError(it) }, { respondText(JSON.encodeToString(it), ContentType.Application.Json) })

    private suspend fun <A> ApplicationCall.sendResult(
        result: Either<StoreUnavailable, A>,
        serializer: KSerializer<A>,
    ) = result.fold(
        { sendError(it) },
        { respondText(JSON.encodeToString(serializer, it), ContentType.Application.Json) },
    )

    private suspend fun ApplicationCall.sendError(failure: StoreUnavailable) =
        respondText(failure.message, status = HttpStatusCode.ServiceUnavailable)

    private companion object {
        const val HOST = "127.0.0.1"
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
