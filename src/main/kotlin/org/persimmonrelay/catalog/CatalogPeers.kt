package org.persimmonrelay.catalog

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerNetwork
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How far a stored change has got: [confirmed] of [expected] nodes have it, the accepting one included. */
public data class ReplicationStatus(val confirmed: Int, val expected: Int) {
    /** True when every majority of the nodes has one that knows the change. */
    public val isMajority: Boolean
        get() = confirmed * 2 > expected
}

/** Configuration between nodes: pushes to all, fetches from one, and questions about freshness. */
public class CatalogPeers(
    private val network: PeerNetwork,
    private val membership: Membership,
    private val state: CatalogState,
    private val keyFreshness: KeyFreshnessTracker,
    private val clock: Clock,
    private val random: Random,
    private val scope: CoroutineScope,
) {
    private val outgoing = SnapshotParts(state)

    /** Answers peers from now on. To be called before the node joins. */
    public fun register() {
        network.serve(CatalogMethods.PUSH, ::onPush)
        network.serve(CatalogMethods.FETCH, ::onFetch)
        network.serve(CatalogMethods.PROBE) { answerProbe() }
    }

    /**
     * Sends [delta] to every member, again where a majority did not confirm it, and tells how many did. Members that
     * did not are sent it once more in [scope], in case only the message was lost.
     */
    public suspend fun push(delta: Delta, scope: CoroutineScope): ReplicationStatus {
        val message = ConfigPush(self(), CatalogJson.compact.encodeToString(Delta.serializer(), delta))
        val waiting = ConcurrentHashMap.newKeySet<NodeId>()
        waiting += others().map { it.address.node }
        withTimeoutOrNull(ROUND_TIMEOUT) { pushUntilMajority(waiting, message, delta.version) }
        val replication = replication(waiting)
        if (waiting.isNotEmpty()) scope.launch { pushAgain(waiting, message, delta.version) }
        return replication
    }

    private suspend fun pushUntilMajority(waiting: MutableSet<NodeId>, message: ConfigPush, version: Long) {
        pushRound(waiting, message, version)
        while (!replication(waiting).isMajority) {
            delay(ROUND_PAUSE)
            pushRound(waiting, message, version)
        }
    }

    private fun replication(waiting: Set<NodeId>): ReplicationStatus {
        val expected = keyFreshness.expectedNodes()
        val lacking = expected.count { it in waiting } + if (keyFreshness.started) 0 else 1
        return ReplicationStatus(expected.size - lacking, expected.size)
    }

    private suspend fun pushAgain(waiting: MutableSet<NodeId>, message: ConfigPush, version: Long) {
        repeat(PUSH_REPEATS) {
            delay(PUSH_PAUSE)
            pushRound(waiting, message, version)
        }
    }

    private suspend fun pushRound(waiting: MutableSet<NodeId>, message: ConfigPush, version: Long): Unit =
        coroutineScope {
            val permits = Semaphore(PUSHES_AT_ONCE)
            val targets = others().filter { it.address.node in waiting }
            targets.sortedBy { it.state == MemberState.FAILED }.forEach { member ->
                launch {
                    permits.withPermit {
                        val answer =
                            network.call(member.address, CatalogMethods.PUSH, message, PUSH_TIMEOUT).getOrNull()
                        val confirmed = answer != null && answer.started && answer.version >= version
                        if (confirmed) waiting -= member.address.node
                    }
                }
            }
        }

    /** Asks [member] how new its configuration is, adopts what is newer, and learns from the answer. */
    public suspend fun ask(member: Member) {
        val sent = clock.now()
        val probe = FreshnessProbe(state.current.version)
        val answer = network.call(member.address, CatalogMethods.PROBE, probe, PROBE_TIMEOUT).getOrNull() ?: return
        if (answer.version > state.current.version) fetchFrom(member.address, answer.version)
        val report = answer.toReport(keyFreshness.expectedNodes())
        keyFreshness.onReport(report, state.current.version, sent, clock.now())
    }

    /** Members other than this node that have not left. */
    public fun others(): List<Member> {
        val view = membership.view.value
        return view.members.filter { it.address.node != view.self.address.node && it.state != MemberState.LEFT }
    }

    private suspend fun fetchFrom(peer: PeerAddress, version: Long) {
        while (state.current.version < version) {
            val before = state.current.version
            val answer = fetch(peer, ConfigFetch(before)) ?: return
            state.adopt(answer.deltas.map(::deltaIn))
            if (answer.snapshot > 0) fetchSnapshot(peer, answer)
            if (state.current.version == before) return
        }
    }

    private suspend fun fetchSnapshot(peer: PeerAddress, first: ConfigFetchAnswer) {
        val rest = (1 until first.parts).map { part ->
            fetch(peer, ConfigFetch(0, first.snapshot, part))?.takeIf { it.snapshot == first.snapshot } ?: return
        }
        val bytes = (listOf(first) + rest).map { it.bytes }.reduce(ByteArray::plus)
        state.adopt(CatalogJson.decodeSnapshot(bytes))
    }

    private suspend fun fetch(peer: PeerAddress, request: ConfigFetch): ConfigFetchAnswer? =
        network.call(peer, CatalogMethods.FETCH, request, FETCH_TIMEOUT).getOrNull()

    private suspend fun onPush(push: ConfigPush): ConfigPushAnswer {
        val delta = deltaIn(push.delta)
        val isNews = state.current.version < delta.version
        state.adopt(listOf(delta))
        if (isNews) relay(push)
        if (state.current.version < delta.version) fetchFrom(push.from, delta.version)
        val started = keyFreshness.started
        return ConfigPushAnswer(state.current.version, started)
    }

    /** Hands a change on to a few others, for those that its accepting node does not reach. */
    private fun relay(push: ConfigPush) {
        val onward = push.copy(from = self())
        others().filter { it.state.isPresent && it.address != push.from }.shuffled(random).take(RELAYS).forEach {
            scope.launch { network.call(it.address, CatalogMethods.PUSH, onward, PUSH_TIMEOUT) }
        }
    }

    private fun onFetch(request: ConfigFetch): ConfigFetchAnswer {
        if (request.snapshot > 0) return outgoing.part(request.snapshot, request.part)
        val deltas = state.deltasAfter(request.after) ?: return outgoing.first()
        return ConfigFetchAnswer(deltas.take(DELTAS_AT_ONCE).map(::encoded))
    }

    private fun answerProbe(): FreshnessAnswer {
        val report = keyFreshness.report(clock.now()) { state.current.version }
        return FreshnessAnswer(
            from = report.from.value,
            started = report.started,
            version = report.version,
            storeAgeMillis = report.storeAge?.let { it.inWholeMilliseconds + 1 } ?: NO_AGE,
            heard = HeardCodec.pack(report.heard),
        )
    }

    private fun FreshnessAnswer.toReport(members: Set<NodeId>) = FreshnessReport(
        from = NodeId(from),
        started = started,
        version = version,
        storeAge = storeAgeMillis.takeIf { it >= 0 }?.milliseconds,
        heard = HeardCodec.unpack(heard, members),
    )

    private fun self(): PeerAddress = membership.view.value.self.address

    private fun deltaIn(json: String): Delta = CatalogJson.compact.decodeFromString(Delta.serializer(), json)

    private fun encoded(delta: Delta): String = CatalogJson.compact.encodeToString(Delta.serializer(), delta)

    private companion object {
        const val PUSHES_AT_ONCE = 64
        const val RELAYS = 2
        const val PUSH_REPEATS = 3
        const val DELTAS_AT_ONCE = 8
        const val NO_AGE = -1L
        val PUSH_TIMEOUT = 1.seconds
        val PUSH_PAUSE = 1.seconds
        val ROUND_PAUSE = 100.milliseconds
        val ROUND_TIMEOUT = 2500.milliseconds
        val PROBE_TIMEOUT = 800.milliseconds
        val FETCH_TIMEOUT = 3.seconds
    }
}
