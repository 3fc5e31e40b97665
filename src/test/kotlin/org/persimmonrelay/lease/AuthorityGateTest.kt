package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class AuthorityGateTest {
    private val gate = AuthorityGate(messageLifetime = 5.seconds)

    @Test
    fun `a send that stands still inside keeps the gate from being quiet, however long`() {
        gate.enter(3)

        assertFalse(gate.close(3, at(3600)))
    }

    @Test
    fun `a message that left keeps the gate from being quiet for its lifetime`() {
        gate.enter(3)
        gate.leave(3, at(10))

        assertFalse(gate.close(3, at(14)))
        assertTrue(gate.close(3, at(15)))
    }

    @Test
    fun `after it was closed no send of these epochs enters, and a later hold's does`() {
        assertTrue(gate.close(3, at(0)))

        assertFalse(gate.enter(3))
        assertTrue(gate.enter(4))
        assertTrue(gate.close(3, at(1)), "a later hold's send says nothing of the earlier ones")
    }

    private fun at(seconds: Int): Moment = Moment.ZERO + seconds.seconds
}
