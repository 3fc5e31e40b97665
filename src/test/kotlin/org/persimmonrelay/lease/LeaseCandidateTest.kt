package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class LeaseCandidateTest {
    private val self = HolderId(NodeId("a"), Incarnation("a-2"))
    private val other = HolderId(NodeId("b"), Incarnation("b-1"))
    private val candidate = LeaseCandidate(self, LeaseTerms())
    private val fresh = CandidateState(nextReadAt = Moment.ZERO)

    @Test
    fun `a row that was watched unchanged for duration and tolerance is taken over, and not before`() {
        val first = read(fresh, row(other), 1, at(0))

        val early = read(first, row(other), 1, at(11.9))
        val silent = read(first, row(other), 1, at(12.1))

        assertIs<CandidateAction.WaitUntil>(next(early, at(11.9)))
        assertEquals(CandidateAction.TakeOver(row(other), 1), next(silent, at(12.1)))
    }

    @Test
    fun `a renewal starts the watch anew`() {
        val first = read(fresh, row(other), 1, at(0))
        val renewed = read(first, row(other).copy(beat = 2), 2, at(11))

        val later = read(renewed, row(other).copy(beat = 2), 2, at(13))

        assertIs<CandidateAction.WaitUntil>(next(later, at(13)))
    }

    @Test
    fun `a failed read in the window starts the watch anew`() {
        val first = read(fresh, row(other), 1, at(0))
        val unknown = candidate.on(first, CandidateEvent.ReadFailed, at(11))

        val later = read(unknown, row(other), 1, at(12.5))

        assertIs<CandidateAction.WaitUntil>(next(later, at(12.5)))
    }

    @Test
    fun `a question sent before the window ended proves nothing, however late its answer`() {
        val first = read(fresh, row(other), 1, at(0))

        val slow = candidate.on(first, CandidateEvent.RowRead(row(other), 1, sentAt = at(5)), at(20))

        assertEquals(CandidateAction.Read, next(slow, at(20 + 2)))
    }

    @Test
    fun `a restarted node watches its predecessor's lease like any other's`() {
        val predecessor = HolderId(self.node, Incarnation("a-1"))

        val seen = read(fresh, row(predecessor), 1, at(0))

        assertIs<CandidateAction.WaitUntil>(next(seen, at(0)))
    }

    @Test
    fun `a released lease is taken at once by the first in rank and later by the others`() {
        val seen = read(fresh, row(other).copy(released = true), 5, at(0))

        assertIs<CandidateAction.TakeOver>(next(seen, at(0), rank = 0))
        assertIs<CandidateAction.WaitUntil>(next(seen, at(0), rank = 2))
        assertIs<CandidateAction.TakeOver>(next(seen, at(1), rank = 2))
    }

    @Test
    fun `few of many nodes watch closely`() {
        val seen = read(fresh, row(other), 1, at(0))

        val close = next(seen, at(0), rank = 2, nodes = 370)
        val far = next(seen, at(0), rank = 3, nodes = 370)

        assertEquals(at(2), assertIs<CandidateAction.WaitUntil>(close).moment)
        assertEquals(at(1480), assertIs<CandidateAction.WaitUntil>(far).moment)
    }

    private fun next(state: CandidateState, now: Moment, rank: Int = 0, nodes: Int = 7) =
        candidate.next(state, rank, nodes, pace = 0.0, now)

    private fun read(state: CandidateState, row: BeatRow, version: Long, now: Moment) =
        candidate.on(state, CandidateEvent.RowRead(row, version, sentAt = now), now)

    private fun row(holder: HolderId) = BeatRow(holder, epoch = 1, beat = 1)

    private fun at(seconds: Number): Moment = Moment.ZERO + seconds.toDouble().seconds + Duration.ZERO
}
