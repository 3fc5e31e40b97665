package org.persimmonrelay.forward

import org.persimmonrelay.clock.Clock
import org.persimmonrelay.http.HttpConnection
import org.persimmonrelay.http.ResponsePart
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long to read the rest of a response that is not needed, so that its connection can be reused. */
internal val DRAIN_TIMEOUT: Duration = 100.milliseconds

/** Reads the body of a server's response whose [head] has arrived. */
internal class ResponseReader(
    private val connection: HttpConnection,
    val head: ResponsePart.Head,
    private val clock: Clock,
) {
    /** Waits for the next part of the body. */
    suspend fun next(): ResponsePart {
        val part = connection.receive()
        if (part is ResponsePart.End) connection.responseCompleted(head.headers, clock.now())
        return part
    }

    /** Reads the body until it ends or exceeds [limit] bytes. [onData] is called after each part. */
    suspend fun readBody(limit: Int, onData: () -> Unit = {}): BodyReadResult {
        val bytes = ByteArrayOutputStream()
        while (bytes.size() <= limit) {
            val part = next()
            if (part !is ResponsePart.Data) return end(part, bytes)
            bytes.write(part.bytes)
            onData()
        }
        return BodyReadResult.Oversized(bytes.toByteArray())
    }

    private fun end(part: ResponsePart, bytes: ByteArrayOutputStream): BodyReadResult = when (part) {
        is ResponsePart.End -> BodyReadResult.Complete(bytes.toByteArray())
        is ResponsePart.Broken -> BodyReadResult.Incomplete(part.reason, connectionEnded = true)
        else -> BodyReadResult.Incomplete("A second response began before the first was complete.")
    }
}

/** Result of reading a response body. */
internal sealed interface BodyReadResult {
    class Complete(val bytes: ByteArray) : BodyReadResult

    /** The body exceeds the limit; [start] is what has been read so far. */
    class Oversized(val start: ByteArray) : BodyReadResult

    /** The body did not arrive in full; [connectionEnded] when the server closed the connection within it. */
    class Incomplete(val reason: String, val connectionEnded: Boolean = false) : BodyReadResult
}
