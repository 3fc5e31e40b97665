package org.persimmonrelay.entry

import io.ktor.client.statement.bodyAsText
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.routing.DispatchAction
import org.persimmonrelay.routing.DispatchEvent
import org.persimmonrelay.routing.Dispatcher
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UnexpectedErrorTest {
    @Test
    fun `an internal error gives an error response without its details and closes the request`() =
        EntryFixture(dispatcher = { FaultyDispatcher }).run { f ->
            val response = f.chat(EntryFixture.body("hi"))

            val text = response.bodyAsText()
            assertEquals(502, response.status.value)
            assertTrue("outcome_unknown" in text && "inner detail" !in text, text)
            eventually { f.entry.openRequests == 0 }
        }

    private object FaultyDispatcher : Dispatcher {
        override fun on(event: DispatchEvent, now: Moment): List<DispatchAction> {
            if (event is DispatchEvent.Arrived) error("inner detail")
            return emptyList()
        }
    }
}
