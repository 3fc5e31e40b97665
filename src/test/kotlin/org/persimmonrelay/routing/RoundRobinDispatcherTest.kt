package org.persimmonrelay.routing

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.NotRunReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RoundRobinDispatcherTest {
    private val dispatcher = RoundRobinDispatcher()

    @Test
    fun `requests go to servers in round-robin order and skip draining ones`() {
        dispatcher.on(DispatchEvent.ServersChanged(listOf(server("a"), server("b", drain = true), server("c"))), NOW)

        val placed = (1..4).map { arrive("r$it") }

        assertEquals(
            listOf("a", "c", "a", "c"),
            placed.map {
                assertIs<DispatchAction.Start>(it).placement.decode.value
            },
        )
    }

    @Test
    fun `a request is refused as not run when there is no server`() {
        val action = arrive("r1")

        assertEquals(NotRunReason.NO_SERVER, assertIs<DispatchAction.Refuse>(action).refusal.reason)
    }

    private fun arrive(id: String): DispatchAction {
        val request =
            DispatchRequest(
                id = RequestId(id),
                workspace = WorkspaceId("w"),
                weight = 1,
                promptTokens = 10,
                maxOutputTokens = 10,
                prefixBlocks = LongArray(0),
                priority = 0,
                firstTokenBy = NOW,
            )
        return dispatcher.on(DispatchEvent.Arrived(request), NOW).single()
    }

    private fun server(name: String, drain: Boolean = false) =
        BackendServerConfig(name = name, address = "127.0.0.1:1", domain = "d", region = "r", drain = drain)

    private companion object {
        val NOW = Moment.ZERO
    }
}
