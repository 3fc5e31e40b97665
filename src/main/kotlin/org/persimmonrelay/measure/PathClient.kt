package org.persimmonrelay.measure

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import org.persimmonrelay.clock.Clock
import kotlin.time.Duration

/** HTTP client of [PathBench]; the engine and the node are called through the same one. */
internal class PathClient(private val clock: Clock) : AutoCloseable {
    private val http =
        HttpClient(CIO) {
            engine {
                requestTimeout = 0
                maxConnectionsCount = Int.MAX_VALUE
                endpoint.maxConnectionsPerRoute = Int.MAX_VALUE
            }
        }

    /** Time to the first server-sent event. The rest of the stream is read before this returns. */
    suspend fun firstEvent(url: String, body: String): Duration {
        val start = clock.now()
        return stream(url, body) { channel ->
            nextEvent(channel)
            val first = clock.now() - start
            while (nextEvent(channel)) Unit
            first
        }
    }

    /** Reads the whole stream; returns the number of server-sent events. */
    suspend fun countEvents(url: String, body: String): Int = stream(url, body) { channel ->
        var events = 0
        while (nextEvent(channel)) events++
        events
    }

    override fun close() {
        http.close()
    }

    private suspend fun <T> stream(url: String, body: String, read: suspend (ByteReadChannel) -> T): T = http
        .preparePost(url) {
            header("Authorization", "Bearer ${BenchCatalog.KEY}")
            contentType(ContentType.Application.Json)
            setBody(body)
        }.execute { response ->
            check(response.status.value == OK) { "Unexpected response status ${response.status}." }
            read(response.bodyAsChannel())
        }

    private suspend fun nextEvent(channel: ByteReadChannel): Boolean {
        while (true) {
            val line = channel.readLine() ?: return false
            if (line.startsWith("data: ")) return true
        }
    }

    private companion object {
        const val OK = 200
    }
}
