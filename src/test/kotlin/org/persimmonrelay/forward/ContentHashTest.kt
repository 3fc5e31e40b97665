package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.time.Duration.Companion.seconds

class ContentHashTest {
    @Test
    fun `requests that ask for the same are recognized by their content, whatever their ids`() {
        val server = ScriptedServer { request, socket -> socket.writeText(answer(request)) }
        ForwardFixture(RouteKind.Idempotent, listOf(server), listOf(null), timeout = 6.seconds).use { node ->
            node.exchange(request("r1"))
            node.exchange(request("r2", more = arrayOf("Token-Count: 1,1")))
            node.exchange(request("r3", body = "other"))

            // A request is recorded after its response was sent.
            node.awaitEvents(ForwardEvent.REQUEST_ANSWERED, 3)
            val hashes = node.recorded(ForwardEvent.REQUEST_ANSWERED, "content")
            assertEquals(hashes[0], hashes[1])
            assertNotEquals(hashes[0], hashes[2])
        }
    }

    private fun answer(request: RecordedRequest) = "HTTP/1.1 200 OK\r\nRequest-Id: ${request.header(
        "Request-Id",
    )}\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
}
