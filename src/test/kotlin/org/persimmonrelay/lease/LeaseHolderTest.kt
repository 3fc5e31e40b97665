package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LeaseHolderTest {
    private val holder = LeaseHolder(LeaseTerms())
    private val row = HeartbeatRow(HolderId(NodeId("a"), Incarnation("a-1")), epoch = 4, beat = 0)
    private val acquired = holder.acquired(row, version = 7, sentAt = at(0))

    @Test
    fun `sending ends a margin before the lease expires, counted from before the renewal was sent`() {
        assertTrue(holder.maySend(acquired, at(8)))
        assertFalse(holder.maySend(acquired, at(9)))
        assertIs<HolderAction.Lapse>(holder.next(acquired, emptyList(), restores = 0, at(10)))
    }

    @Test
    fun `a renewal that was answered late extends the lease from when it was sent`() {
        val renewed = holder.onEvent(acquired, HolderEvent.Renewed(row.copy(beat = 1), sentAt = at(3)), at(8))!!

        assertEquals(at(13), renewed.validUntil)
    }

    @Test
    fun `an unanswered renewal extends the lease only once the row shows that it was stored`() {
        val pending = holder.onEvent(acquired, HolderEvent.Unanswered(sentAt = at(3)), at(4))!!
        val again = holder.onEvent(pending, HolderEvent.Unanswered(sentAt = at(5)), at(6))!!

        val shown = holder.onEvent(again, HolderEvent.Conflict(row.copy(beat = 1), version = 8), at(7))!!

        assertEquals(acquired.validUntil, again.validUntil)
        assertEquals(at(13), shown.validUntil, "from the first send of that beat, since any may have been stored")
        assertEquals(8, shown.version)
    }

    @Test
    fun `a row of another holder or epoch ends the lease`() {
        val other = row.copy(holder = HolderId(NodeId("b"), Incarnation("b-1")), epoch = 5)

        assertNull(holder.onEvent(acquired, HolderEvent.Conflict(other, version = 8), at(4)))
        assertNull(holder.onEvent(acquired, HolderEvent.Conflict(row.copy(epoch = 5), version = 8), at(4)))
        assertNull(holder.onEvent(acquired, HolderEvent.Conflict(null, version = 0), at(4)))
    }

    @Test
    fun `after a restore the lease goes on with an earlier row of its own, and ends with any other`() {
        assertIs<HolderAction.ReadAfterRestore>(holder.next(acquired, emptyList(), restores = 2, at(3)))

        val earlier = HolderEvent.ReadAfterRestore(row.copy(beat = -1), version = 5, restores = 2)
        val other = row.copy(holder = HolderId(NodeId("b"), Incarnation("b-1")))
        val goesOn = holder.onEvent(acquired, earlier, at(3))!!

        assertEquals(acquired.validUntil, goesOn.validUntil)
        assertEquals(5, assertIs<HolderAction.Renew>(holder.next(goesOn, emptyList(), restores = 2, at(3))).version)
        assertNull(holder.onEvent(acquired, HolderEvent.ReadAfterRestore(other, 5, restores = 2), at(3)))
        assertNull(holder.onEvent(acquired, HolderEvent.ReadAfterRestore(null, 0, restores = 2), at(3)))
    }

    private fun at(seconds: Int): Moment = Moment.ZERO + seconds.seconds
}
