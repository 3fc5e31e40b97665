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

/** How far a change is said to have got when connections to peers take long to open. */
class CatalogPeersTest {
    private val delta = Delta(1, OperationId("op"), listOf(CatalogChange.Put(Workspace("w"))))

    @Test
    fun `a peer whose first push takes too long is asked again before the change is reported`() = runTest {
        val network = ScriptedNetwork(slowFirst = setOf("n1"), absent = setOf("n2"))

        val replication = peers(network).push(delta, backgroundScope)

        assertEquals(ReplicationStatus(confirmed = 2, expected = 3), replication)
    }

    @Test
    fun `a peer that can't be reached is not waited for when a majority has the change`() = runTest {
        val network = ScriptedNetwork(slowFirst = emptySet(), absent = setOf("n2"))

        val replication = peers(network).push(delta, backgroundScope)

        assertEquals(ReplicationStatus(confirmed = 2, expected = 3), replication)
        assertEquals(Duration.ZERO, TestSchedulerClock(testScheduler).now() - Moment.ZERO)
    }

    private fun TestScope.peers(network: PeerNetwork): CatalogPeers {
        val clock = TestSchedulerClock(testScheduler)
        val membership = FixedMembership("n0", "n1", "n2")
        val keyFreshness = KeyFreshnessTracker(membership, bound = 8.seconds)
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

    /** Peers that confirm each push; [slowFirst] ones let the first one time out, [absent] ones refuse connections. */
    private class ScriptedNetwork(private val slowFirst: Set<String>, private val absent: Set<String>) : PeerNetwork {
        private val asked = HashSet<NodeId>()

        override suspend fun <Q : Any, A : Any> call(
            to: PeerAddress,
            method: PeerMethod<Q, A>,
            request: Q,
            timeout: Duration,
        ): Either<PeerFailure, A> {
            if (to.node.value in absent) return PeerFailure.Unreachable("No connection.").left()
            if (asked.add(to.node) && to.node.value in slowFirst) {
                delay(timeout)
                return PeerFailure.TimedOut("The connection was not open yet.").left()
            }
            @Suppress("UNCHECKED_CAST")
            return (ConfigPushAnswer(version = 1, started = true) as A).right()
        }

        override fun <Q : Any, A : Any> serve(method: PeerMethod<Q, A>, handler: suspend (Q) -> A) = Unit
    }
}
