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
 * The naive membership: every node sends a heartbeat to every other node of a list that it polls, each
 * second, and takes for failed whoever it has not heard for three.
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
        val own = PausableDispatcher(dispatcher)
        val network = hub.join(PeerAddress(node, Incarnation("$name-${starts++}"), "10.0.0.1", 1))
        val ownScope = CoroutineScope(own + Job(scope.coroutineContext[Job]))
        nodes[node] = HeartbeatNode(network, own, ownScope).also { it.start() }
    }

    override fun kill(node: NodeId) {
        val ended = nodes.remove(node) ?: return
        ended.network.stop()
        ended.scope.cancel()
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
        private val lastHeard = HashMap<NodeId, Long>()
        private val failed = HashSet<NodeId>()
        private var listed = emptyList<PeerAddress>()

        fun start() {
            network.serve(BEAT) {
                lastHeard[NodeId(it)] = scheduler.currentTime
                true
            }
            scope.launch { repeatEvery(LIST_PERIOD) { listed = nodes.values.map { it.network.address } } }
            scope.launch { repeatEvery(BEAT_PERIOD) { beat() } }
        }

        fun serving(): Set<NodeId> = lastHeard.keys - failed + self

        private fun beat() {
            listed.filter {
                it.node != self
            }.forEach { scope.launch { network.call(it, BEAT, self.value, BEAT_PERIOD) } }
            val silent = lastHeard.filterValues { scheduler.currentTime - it > SILENCE.inWholeMilliseconds }.keys
            (silent - failed).forEach { onFailed(self, it) }
            failed.clear()
            failed += silent
        }

        private suspend fun repeatEvery(period: Duration, work: () -> Unit) {
            delay(hub.random.nextInt(START_SPREAD_MILLIS).milliseconds)
            while (true) {
                work()
                delay(period)
            }
        }
    }

    private companion object {
        val BEAT = PeerMethod("heartbeat", String.serializer(), Boolean.serializer())
        val BEAT_PERIOD = 1.seconds
        val LIST_PERIOD = 10.seconds
        val SILENCE = 3.seconds
        const val START_SPREAD_MILLIS = 1_000
    }
}
