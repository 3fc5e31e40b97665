package org.persimmonrelay.platform.http

import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.InvalidResponses
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.chunk
import org.persimmonrelay.forward.reset
import org.persimmonrelay.forward.writeText
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Responses of the platform that break the grammar of HTTP/1.1, or that break off. */
class InvalidPlatformResponseTest {
    @Test
    fun `an object in an invalid response is not taken`() {
        assertEquals(emptyList(), taken(InvalidResponses.of("body")) { it.close() })
    }

    @Test
    fun `an object in an unusual but valid response is taken`() {
        val valid = InvalidResponses.validOf("body")

        assertEquals(valid, taken(valid) { it.close() })
    }

    // Guards against the part of a snapshot that a node takes for the whole.
    @Test
    fun `an object that was cut off is not taken`() {
        val cut = listOf(
            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("body"),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nbody",
        )
        val withoutLength = "HTTP/1.1 200 OK\r\n\r\nbody"

        assertEquals(emptyList(), taken(cut) { it.close() })
        assertEquals(emptyList(), taken(cut + withoutLength) { it.reset() })
    }

    /** The [responses] that the client took for whole ones when the server then ends by [end]. */
    private fun taken(responses: List<String>, end: (Socket) -> Unit): List<String> = responses.filter { response ->
        val platform = ScriptedServer { _, socket ->
            socket.writeText(response, Charsets.ISO_8859_1)
            Thread.sleep(PAUSE_MILLIS)
            end(socket)
        }
        platform.use {
            PlatformHttpClient(SystemClock).use { http ->
                val result = runBlocking { HttpObjectStore(http, "http://127.0.0.1:${platform.port}").get("o") }
                result.onRight { assertTrue("body" in it!!.decodeToString()) }.isRight()
            }
        }
    }

    private companion object {
        const val PAUSE_MILLIS = 5L
    }
}
