package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.serialization.builtins.serializer
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.standin.FakePeerHub
import org.persimmonrelay.standin.FakePeerNetwork
import org.persimmonrelay.standin.PausableDispatcher
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Naive membership for comparison: each node polls a list of nodes every 10 s and sends a heartbeat to all others on it
 * every second. A node without a heartbeat for more than 3 s is considered failed.
 */
internal class HeartbeatTrialMesh(seed: Long) : TrialMesh {
    private val scheduler = TestCoroutineScheduler()
    private val dispatcher = StandardTestDispatcher(scheduler)
    private val scope = CoroutineScope(dispatcher + SupervisorJob())
    private val nodes = LinkedHashMap<NodeId, HeartbeatNode>()
    private var starts = 0

    override val hub = FakePeerHub(scope, Random(seed))
    override var onFailed: (NodeId, NodeId) -> Unit = { _, _ -> }

    override fun start(name: String, region: String) {
        val node = NodeId(name)
        kill(node)
        val pausable = PausableDispatcher(dispatcher)
        val network = hub.join(PeerAddress(node, Incarnation("$name-${starts++}"), "10.0.0.1", 1))
        val nodeScope = CoroutineScope(pausable + Job(scope.coroutineContext[Job]))
        nodes[node] = HeartbeatNode(network, pausable, nodeScope).also { it.start() }
    }

    override fun kill(node: NodeId) {
        val killed = nodes.remove(node) ?: return
        killed.network.stop()
        killed.scope.cancel()
    }

    override fun pause(node: NodeId) {
        nodes[node]?.run {
            dispatcher.pause()
            network.pause()
        }
    }

    override fun resume(node: NodeId) {
        nodes[node]?.run {
            dispatcher.resume()
            network.resume()
        }
    }

    override fun advance(duration: Duration) {
        scheduler.advanceTimeBy(duration)
        scheduler.runCurrent()
    }

    override fun serving(): Map<NodeId, Set<NodeId>> = nodes.mapValues { it.value.serving() }

    override fun close() {
        scope.cancel()
        scheduler.advanceUntilIdle()
    }

    private inner class HeartbeatNode(
        val network: FakePeerNetwork,
        val dispatcher: PausableDispatcher,
        val scope: CoroutineScope,
    ) {
        private val self = network.address.node
        private val lastHeartbeat = HashMap<NodeId, Long>()
        private val failed = HashSet<NodeId>()
        private var knownNodes = emptyList<PeerAddress>()

        fun start() {
            network.serve(HEARTBEAT) {
                lastHeartbeat[NodeId(it)] = scheduler.currentTime
                true
            }
            scope.launch { repeatEvery(LIST_PERIOD) { knownNodes = nodes.values.map { it.network.address } } }
            scope.launch { repeatEvery(HEARTBEAT_PERIOD) { sendHeartbeats() } }
        }

        fun serving(): Set<NodeId> = lastHeartbeat.keys - failed + self

        private fun sendHeartbeats() {
            knownNodes.filter {
                it.node != self
            }.forEach { scope.launch { network.call(it, HEARTBEAT, self.value, HEARTBEAT_PERIOD) } }
            val timedOut =
                lastHeartbeat.filterValues { scheduler.currentTime - it > FAILURE_TIMEOUT.inWholeMilliseconds }.keys
            (timedOut - failed).forEach { onFailed(self, it) }
            failed.clear()
            failed += timedOut
        }

        private suspend fun repeatEvery(period: Duration, work: () -> Unit) {
            delay(hub.random.nextInt(MAX_START_DELAY_MILLIS).milliseconds)
            while (true) {
                work()
                delay(period)
            }
        }
    }

    private companion object {
        val HEARTBEAT = PeerMethod("heartbeat", String.serializer(), Boolean.serializer())
        val HEARTBEAT_PERIOD = 1.seconds
        val LIST_PERIOD = 10.seconds
        val FAILURE_TIMEOUT = 3.seconds
        const val MAX_START_DELAY_MILLIS = 1_000
    }
}
