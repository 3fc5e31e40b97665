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
    fun `a row is taken over after it was unchanged for duration plus tolerance, and not before`() {
        val first = read(fresh, row(other), 1, at(0))

        val early = read(first, row(other), 1, at(11.9))
        val late = read(first, row(other), 1, at(12.1))

        assertIs<CandidateAction.WaitUntil>(next(early, at(11.9)))
        assertEquals(CandidateAction.TakeOver(row(other), 1), next(late, at(12.1)))
    }

    @Test
    fun `a renewal restarts the count`() {
        val first = read(fresh, row(other), 1, at(0))
        val renewed = read(first, row(other).copy(beat = 2), 2, at(11))

        val later = read(renewed, row(other).copy(beat = 2), 2, at(13))

        assertIs<CandidateAction.WaitUntil>(next(later, at(13)))
    }

    @Test
    fun `a failed read in between restarts the count`() {
        val first = read(fresh, row(other), 1, at(0))
        val unknown = candidate.onEvent(first, CandidateEvent.ReadFailed, at(11))

        val later = read(unknown, row(other), 1, at(12.5))

        assertIs<CandidateAction.WaitUntil>(next(later, at(12.5)))
    }

    @Test
    fun `a read sent before duration plus tolerance have passed is no evidence, however late its answer`() {
        val first = read(fresh, row(other), 1, at(0))

        val slow = candidate.onEvent(first, CandidateEvent.RowRead(row(other), 1, sentAt = at(5)), at(20))

        assertEquals(CandidateAction.Read, next(slow, at(20 + 2)))
    }

    @Test
    fun `a restarted node treats the lease of its earlier incarnation like that of another node`() {
        val predecessor = HolderId(self.node, Incarnation("a-1"))

        val afterRead = read(fresh, row(predecessor), 1, at(0))

        assertIs<CandidateAction.WaitUntil>(next(afterRead, at(0)))
    }

    @Test
    fun `a released lease is taken at once by the node with rank 0 and later by the others`() {
        val afterRead = read(fresh, row(other).copy(released = true), 5, at(0))

        assertIs<CandidateAction.TakeOver>(next(afterRead, at(0), rank = 0))
        assertIs<CandidateAction.WaitUntil>(next(afterRead, at(0), rank = 2))
        assertIs<CandidateAction.TakeOver>(next(afterRead, at(1), rank = 2))
    }

    @Test
    fun `only the nodes with the lowest ranks read the row often`() {
        val afterRead = read(fresh, row(other), 1, at(0))

        val lowRank = next(afterRead, at(0), rank = 2, nodes = 370)
        val highRank = next(afterRead, at(0), rank = 3, nodes = 370)

        assertEquals(at(2), assertIs<CandidateAction.WaitUntil>(lowRank).moment)
        assertEquals(at(1480), assertIs<CandidateAction.WaitUntil>(highRank).moment)
    }

    @Test
    fun `after a restore a released or missing row is no sign that the lease is free`() {
        val released = candidate.onEvent(fresh, readAfterRestore(row(other).copy(released = true), at(0)), at(0))
        val missing = candidate.onEvent(fresh, readAfterRestore(null, at(0)), at(0))
        val own = candidate.onEvent(fresh, readAfterRestore(row(self), at(0)), at(0))

        listOf(released, missing, own).forEach { assertIs<CandidateAction.WaitUntil>(next(it, at(0))) }
        val later = candidate.onEvent(missing, readAfterRestore(null, at(12.1)), at(12.1))
        assertEquals(CandidateAction.TakeOver(null, 0), next(later, at(12.1)))
    }

    @Test
    fun `a row that was written since the restore counts as before`() {
        val row = row(other).copy(released = true, restores = 2)

        assertIs<CandidateAction.TakeOver>(next(candidate.onEvent(fresh, readAfterRestore(row, at(0)), at(0)), at(0)))
    }

    @Test
    fun `the same version after a restore is another row`() {
        val first = read(fresh, row(other), 1, at(0))

        val restored = candidate.onEvent(first, readAfterRestore(row(other), at(12.1)), at(12.1))

        assertIs<CandidateAction.WaitUntil>(next(restored, at(12.1)))
    }

    private fun readAfterRestore(row: HeartbeatRow?, now: Moment) =
        CandidateEvent.RowRead(row, if (row == null) 0 else 1, sentAt = now, restores = 2)

    private fun next(state: CandidateState, now: Moment, rank: Int = 0, nodes: Int = 7) =
        candidate.next(state, rank, nodes, jitter = 0.0, now)

    private fun read(state: CandidateState, row: HeartbeatRow, version: Long, now: Moment) =
        candidate.onEvent(state, CandidateEvent.RowRead(row, version, sentAt = now), now)

    private fun row(holder: HolderId) = HeartbeatRow(holder, epoch = 1, beat = 1)

    private fun at(seconds: Number): Moment = Moment.ZERO + seconds.toDouble().seconds + Duration.ZERO
}
