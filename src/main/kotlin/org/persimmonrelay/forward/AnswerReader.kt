package org.persimmonrelay.forward

import org.persimmonrelay.clock.Clock
import org.persimmonrelay.http.HttpConnection
import org.persimmonrelay.http.ResponsePart
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long the rest of an answer may take that nobody needs but the connection. */
internal val TAIL_PATIENCE: Duration = 100.milliseconds

/** The body of a server's answer behind its [head]. */
internal class AnswerReader(
    private val connection: HttpConnection,
    val head: ResponsePart.Head,
    private val clock: Clock,
) {
    /** The next part of the body; null when the server was silent for [patience]. */
    suspend fun next(patience: Duration?): ResponsePart? {
        val part = within(patience) { connection.receive() }
        if (part is ResponsePart.End) connection.responseCompleted(head.headers, clock.now())
        return part
    }

    /** Reads up to [limit] bytes. */
    suspend fun whole(limit: Int, patience: Duration?): ReadBody {
        val bytes = ByteArrayOutputStream()
        while (bytes.size() <= limit) {
            val part = next(patience)
            if (part !is ResponsePart.Data) return end(part, bytes)
            bytes.write(part.bytes)
        }
        return ReadBody.Long(bytes.toByteArray())
    }

    private fun end(part: ResponsePart?, bytes: ByteArrayOutputStream): ReadBody = when (part) {
        is ResponsePart.End -> ReadBody.Whole(bytes.toByteArray())
        is ResponsePart.Broken -> ReadBody.Torn(part.reason)
        null -> ReadBody.Torn("The server fell silent.")
        else -> ReadBody.Torn("A second answer began inside the first.")
    }
}

/** What could be read of a body. */
internal sealed interface ReadBody {
    class Whole(val bytes: ByteArray) : ReadBody

    /** More follows than was asked for. */
    class Long(val start: ByteArray) : ReadBody

    class Torn(val reason: String) : ReadBody
}
