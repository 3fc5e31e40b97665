package org.persimmonrelay.adapter

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import org.persimmonrelay.forward.RecordedRequest
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.writeText
import org.persimmonrelay.http.ServerAddress
import java.net.Socket
import java.net.URLDecoder

/** Fault of a [StandInStore] at transactions. RESPONSE_LOST applies to one transaction, UNAVAILABLE to all. */
enum class StoreFault { NONE, RESPONSE_LOST, UNAVAILABLE }

/** In-memory HTTP stand-in for the platform's store, with faults: lost responses, 503 and lost change history. */
class StandInStore : AutoCloseable {
    private class Stored(val value: String?, val version: Long)

    private val rows = sortedMapOf<String, Stored>()
    private var version = 10L
    private var oldestChange = 0L
    private var restores = 1L
    private val server = ScriptedServer(::serve)
    val address = ServerAddress("127.0.0.1", server.port)

    @Volatile
    var fault = StoreFault.NONE

    val calls: List<RecordedRequest> get() = server.requests

    /** Writes a row as the operator or a backend server does; a null [value] removes it. */
    @Synchronized
    fun write(table: String, key: String, value: String?) {
        version++
        val encoded = value?.let { java.util.Base64.getEncoder().encodeToString(it.encodeToByteArray()) }
        rows["$table/$key"] = Stored(encoded, version)
    }

    /** The content as it is now, to be passed to [restore]. */
    @Synchronized
    fun copy(): () -> Unit {
        val copiedRows = rows.toMap()
        val copiedVersion = version
        return {
            rows.clear()
            rows.putAll(copiedRows)
            version = copiedVersion
        }
    }

    /** Comes back from [copy], which was made earlier. */
    @Synchronized
    fun restore(copy: () -> Unit) {
        copy()
        restores++
    }

    @Synchronized
    fun forgetHistory() {
        oldestChange = version
    }

    @Synchronized
    private fun serve(request: RecordedRequest, socket: Socket) {
        val target = request.line.split(' ')[1]
        val query = target.substringAfter('?', "").split('&').filter { '=' in it }
            .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }
        when (target.substringBefore('?')) {
            "/api/rows-get" -> respond(socket, 200, get(query))
            "/api/rows-feed" -> feed(socket, query)
            "/api/rows-tx" -> transaction(request, socket)
            else -> respond(socket, 404, buildJsonObject { })
        }
    }

    private fun get(query: Map<String, String>): JsonObject {
        val prefix = query.getValue("table") + "/"
        val from = prefix + query["from"].orEmpty()
        val to = query["to"]?.let { prefix + it }
        val matching = rows.filter { (key, row) ->
            key.startsWith(prefix) && key >= from && (to == null || key < to) && row.value != null
        }
        val limit = query["limit"]?.toInt() ?: 500
        return rowsResponse(matching.keys.take(limit), hasMore = matching.size > limit)
    }

    private fun feed(socket: Socket, query: Map<String, String>) {
        val after = query.getValue("after").toLong()
        if (after < oldestChange || after > version) return respond(socket, 410, buildJsonObject { })
        val changed = rows.filter { (key, row) -> key.startsWith(query.getValue("table") + "/") && row.version > after }
        respond(socket, 200, rowsResponse(changed.keys.sortedBy { rows.getValue(it).version }, hasMore = false))
    }

    private fun transaction(request: RecordedRequest, socket: Socket) {
        if (fault == StoreFault.UNAVAILABLE) return respond(socket, 503, buildJsonObject { })
        val body = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
        val expected = body.getValue("expected").jsonArray.map { it.jsonObject }
        val mismatched = expected.filter {
            (existingRow(rowName(it))?.version ?: 0) != it.getValue("schema_version").jsonPrimitive.long
        }
        if (mismatched.isNotEmpty()) {
            return respond(
                socket,
                412,
                rowsResponse(expected.map(::rowName).filter { existingRow(it) != null }, hasMore = false),
            )
        }
        version++
        body.getValue("set_keys").jsonArray.map { it.jsonObject }.forEach {
            rows[rowName(it)] = Stored(it.getValue("value").jsonPrimitive.content, version)
        }
        body.getValue("delete").jsonArray.map { it.jsonObject }.forEach { rows[rowName(it)] = Stored(null, version) }
        if (fault == StoreFault.RESPONSE_LOST) {
            fault = StoreFault.NONE
            return socket.close()
        }
        respond(socket, 200, rowsResponse(emptyList(), hasMore = false))
    }

    private fun existingRow(name: String) = rows[name]?.takeIf { it.value != null }

    private fun rowName(row: JsonObject) =
        row.getValue("table").jsonPrimitive.content + "/" + row.getValue("key").jsonPrimitive.content

    private fun rowsResponse(names: List<String>, hasMore: Boolean): JsonObject = buildJsonObject {
        put(
            "rows",
            buildJsonArray {
                names.forEach { name ->
                    val row = rows.getValue(name)
                    add(
                        buildJsonObject {
                            put("table", name.substringBefore('/'))
                            put("part", "")
                            put("key", name.substringAfter('/'))
                            if (row.value == null) put("removed", true) else put("value", JsonPrimitive(row.value))
                            put("schema_version", row.version)
                        },
                    )
                }
            },
        )
        put("more_pages", hasMore)
        put("schema_version", version)
        put("now_ms", 5_000)
    }

    private fun respond(socket: Socket, status: Int, body: JsonObject) {
        val text = body.toString()
        socket.writeText(
            "HTTP/1.1 $status X\r\nContent-Type: application/json\r\nStore-Era: $restores\r\n" +
                "Content-Length: ${text.length}\r\n\r\n$text",
        )
    }

    override fun close() = server.close()
}
