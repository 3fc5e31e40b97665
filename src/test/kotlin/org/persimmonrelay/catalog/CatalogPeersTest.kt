package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerFailure
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.peer.PeerNetwork
import org.persimmonrelay.timeline.EventSink
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests which nodes count as having a change when connections to peers are slow to open or cannot be opened. */
class CatalogPeersTest {
    private val delta = Delta(1, OperationId("op"), listOf(CatalogChange.Put(Workspace("w"))))

    @Test
    fun `a push that times out is retried before the replication status is returned`() = runTest {
        val network = ScriptedNetwork(slowFirst = setOf("n1"), absent = setOf("n2"))

        val replication = peers(network).push(delta, backgroundScope)

        assertEquals(ReplicationStatus(confirmed = 2, expected = 3), replication)
    }

    @Test
    fun `push does not wait for an unreachable peer when a majority has the change`() = runTest {
        val network = ScriptedNetwork(slowFirst = emptySet(), absent = setOf("n2"))

        val replication = peers(network).push(delta, backgroundScope)

        assertEquals(ReplicationStatus(confirmed = 2, expected = 3), replication)
        assertEquals(Duration.ZERO, TestSchedulerClock(testScheduler).now() - Moment.ZERO)
    }

    private fun TestScope.peers(network: PeerNetwork): CatalogPeers {
        val clock = TestSchedulerClock(testScheduler)
        val membership = FixedMembership("n0", "n1", "n2")
        val keyFreshness = KeyFreshnessTracker(membership, limit = 8.seconds)
        keyFreshness.onHeadRead(clock.now(), clock.now())
        return CatalogPeers(
            network = network,
            membership = membership,
            state = CatalogState(EventSink.NONE),
            keyFreshness = keyFreshness,
            clock = clock,
            random = Random(1),
            scope = backgroundScope,
        )
    }

    /** Confirms pushes. The first call to a peer in [slowFirst] times out; peers in [absent] refuse connections. */
    private class ScriptedNetwork(private val slowFirst: Set<String>, private val absent: Set<String>) : PeerNetwork {
        private val called = HashSet<NodeId>()

        override suspend fun <Q : Any, A : Any> call(
            to: PeerAddress,
            method: PeerMethod<Q, A>,
            request: Q,
            timeout: Duration,
        ): Either<PeerFailure, A> {
            if (to.node.value in absent) return PeerFailure.Unreachable("No connection.").left()
            if (called.add(to.node) && to.node.value in slowFirst) {
                delay(timeout)
                return PeerFailure.TimedOut("The connection was not open yet.").left()
            }
            @Suppress("UNCHECKED_CAST")
            return (ConfigPushResponse(version = 1, started = true) as A).right()
        }

        override fun <Q : Any, A : Any> serve(method: PeerMethod<Q, A>, handler: suspend (Q) -> A) = Unit
    }
}
