package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class SendGateTest {
    private val gate = SendGate(messageLifetime = 5.seconds)

    @Test
    fun `close is not confirmed while a send is in flight, however long it takes`() {
        gate.beginSend(3)

        assertFalse(gate.close(3, at(3600)))
    }

    @Test
    fun `close is not confirmed until a sent message has expired`() {
        gate.beginSend(3)
        gate.endSend(3, at(10))

        assertFalse(gate.close(3, at(14)))
        assertTrue(gate.close(3, at(15)))
    }

    @Test
    fun `a closed gate rejects sends of its epochs and admits those of a later epoch`() {
        assertTrue(gate.close(3, at(0)))

        assertFalse(gate.beginSend(3))
        assertTrue(gate.beginSend(4))
        assertTrue(gate.close(3, at(1)), "a send of a later epoch does not affect the earlier ones")
    }

    private fun at(seconds: Int): Moment = Moment.ZERO + seconds.seconds
}
