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
    private val row = BeatRow(HolderId(NodeId("a"), Incarnation("a-1")), epoch = 4, beat = 0)
    private val taken = holder.taken(row, version = 7, sentAt = at(0))

    @Test
    fun `authority ends a margin before the bound, which counts from before the send`() {
        assertTrue(holder.mayAct(taken, at(8)))
        assertFalse(holder.mayAct(taken, at(9)))
        assertIs<HolderAction.Lapse>(holder.next(taken, emptyList(), at(10)))
    }

    @Test
    fun `a renewal that was answered late extends the bound from when it was sent`() {
        val renewed = holder.on(taken, HolderEvent.Renewed(row.copy(beat = 1), sentAt = at(3)), at(8))!!

        assertEquals(at(13), renewed.bound)
    }

    @Test
    fun `an unanswered renewal extends nothing until the row shows that it took effect`() {
        val pending = holder.on(taken, HolderEvent.Unanswered(sentAt = at(3)), at(4))!!
        val again = holder.on(pending, HolderEvent.Unanswered(sentAt = at(5)), at(6))!!

        val shown = holder.on(again, HolderEvent.Conflict(row.copy(beat = 1), version = 8), at(7))!!

        assertEquals(taken.bound, again.bound)
        assertEquals(at(13), shown.bound, "from the first send of that beat, since any of them may have taken effect")
        assertEquals(8, shown.version)
    }

    @Test
    fun `a row of another holder or epoch ends the authority`() {
        val other = row.copy(holder = HolderId(NodeId("b"), Incarnation("b-1")), epoch = 5)

        assertNull(holder.on(taken, HolderEvent.Conflict(other, version = 8), at(4)))
        assertNull(holder.on(taken, HolderEvent.Conflict(row.copy(epoch = 5), version = 8), at(4)))
        assertNull(holder.on(taken, HolderEvent.Conflict(null, version = 0), at(4)))
    }

    private fun at(seconds: Int): Moment = Moment.ZERO + seconds.seconds
}
