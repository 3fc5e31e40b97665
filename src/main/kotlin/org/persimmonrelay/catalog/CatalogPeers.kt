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

/** How many nodes have a stored change: [confirmed] of [expected], including the node that accepted it. */
public data class ReplicationStatus(val confirmed: Int, val expected: Int) {
    /** True when a majority has confirmed, so that every majority of the nodes includes one with the change. */
    public val isMajority: Boolean
        get() = confirmed * 2 > expected
}

/** Exchanges the configuration with peers: pushes changes, fetches missing versions and probes freshness. */
public class CatalogPeers(
    private val network: PeerNetwork,
    private val membership: Membership,
    private val state: CatalogState,
    private val keyFreshness: KeyFreshnessTracker,
    private val clock: Clock,
    private val random: Random,
    private val scope: CoroutineScope,
) {
    private val snapshotParts = SnapshotParts(state)

    /** Registers the handlers for calls of peers. Must be called before this node joins the membership. */
    public fun register() {
        network.serve(CatalogMethods.PUSH, ::onPush)
        network.serve(CatalogMethods.FETCH, ::onFetch)
        network.serve(CatalogMethods.PROBE) { onProbe() }
    }

    /**
     * Pushes [delta] to every member, repeating until a majority has confirmed it or [MAJORITY_TIMEOUT] has passed, and
     * returns how many have confirmed. Pushes to the remaining members are retried in [scope], since the message may
     * have been lost.
     */
    public suspend fun push(delta: Delta, scope: CoroutineScope): ReplicationStatus {
        val message = ConfigPush(self(), CatalogJson.compact.encodeToString(Delta.serializer(), delta))
        val unconfirmed = ConcurrentHashMap.newKeySet<NodeId>()
        unconfirmed += others().map { it.address.node }
        withTimeoutOrNull(MAJORITY_TIMEOUT) { pushUntilMajority(unconfirmed, message, delta.version) }
        val replication = replicationStatus(unconfirmed)
        if (unconfirmed.isNotEmpty()) scope.launch { retryPush(unconfirmed, message, delta.version) }
        return replication
    }

    private suspend fun pushUntilMajority(unconfirmed: MutableSet<NodeId>, message: ConfigPush, version: Long) {
        pushRound(unconfirmed, message, version)
        while (!replicationStatus(unconfirmed).isMajority) {
            delay(ROUND_RETRY_DELAY)
            pushRound(unconfirmed, message, version)
        }
    }

    private fun replicationStatus(unconfirmed: Set<NodeId>): ReplicationStatus {
        val expected = keyFreshness.expectedNodes()
        val missing = expected.count { it in unconfirmed } + if (keyFreshness.started) 0 else 1
        return ReplicationStatus(expected.size - missing, expected.size)
    }

    private suspend fun retryPush(unconfirmed: MutableSet<NodeId>, message: ConfigPush, version: Long) {
        repeat(PUSH_RETRIES) {
            delay(PUSH_RETRY_DELAY)
            pushRound(unconfirmed, message, version)
        }
    }

    private suspend fun pushRound(unconfirmed: MutableSet<NodeId>, message: ConfigPush, version: Long): Unit =
        coroutineScope {
            val permits = Semaphore(MAX_CONCURRENT_PUSHES)
            val targets = others().filter { it.address.node in unconfirmed }
            targets.sortedBy { it.state == MemberState.FAILED }.forEach { member ->
                launch {
                    permits.withPermit {
                        val response =
                            network.call(member.address, CatalogMethods.PUSH, message, PUSH_TIMEOUT).getOrNull()
                        val confirmed = response != null && response.started && response.version >= version
                        if (confirmed) unconfirmed -= member.address.node
                    }
                }
            }
        }

    /** Probes the configuration version of [member], fetches and adopts newer versions, and records the report. */
    public suspend fun probe(member: Member) {
        val sentAt = clock.now()
        val request = FreshnessProbe(state.current.version)
        val response = network.call(member.address, CatalogMethods.PROBE, request, PROBE_TIMEOUT).getOrNull() ?: return
        if (response.version > state.current.version) fetchFrom(member.address, response.version)
        val report = response.toReport(keyFreshness.expectedNodes())
        keyFreshness.onReport(report, state.current.version, sentAt, clock.now())
    }

    /** Members other than this node that have not left on purpose, including failed ones. */
    public fun others(): List<Member> {
        val view = membership.view.value
        return view.members.filter { it.address.node != view.self.address.node && it.state != MemberState.LEFT }
    }

    private suspend fun fetchFrom(peer: PeerAddress, version: Long) {
        while (state.current.version < version) {
            val before = state.current.version
            val response = fetch(peer, ConfigFetch(before)) ?: return
            state.adopt(response.deltas.map(::decodeDelta))
            if (response.snapshot > 0) fetchSnapshot(peer, response)
            if (state.current.version == before) return
        }
    }

    private suspend fun fetchSnapshot(peer: PeerAddress, first: ConfigFetchResponse) {
        val rest = (1 until first.parts).map { part ->
            fetch(peer, ConfigFetch(0, first.snapshot, part))?.takeIf { it.snapshot == first.snapshot } ?: return
        }
        val bytes = (listOf(first) + rest).map { it.bytes }.reduce(ByteArray::plus)
        state.adopt(CatalogJson.decodeSnapshot(bytes))
    }

    private suspend fun fetch(peer: PeerAddress, request: ConfigFetch): ConfigFetchResponse? =
        network.call(peer, CatalogMethods.FETCH, request, FETCH_TIMEOUT).getOrNull()

    private suspend fun onPush(push: ConfigPush): ConfigPushResponse {
        val delta = decodeDelta(push.delta)
        val isNewer = state.current.version < delta.version
        state.adopt(listOf(delta))
        if (isNewer) forward(push)
        if (state.current.version < delta.version) fetchFrom(push.from, delta.version)
        val started = keyFreshness.started
        return ConfigPushResponse(state.current.version, started)
    }

    /** Forwards a change to a few random peers, for nodes that the accepting node cannot reach. */
    private fun forward(push: ConfigPush) {
        val forwarded = push.copy(from = self())
        others().filter { it.state.isPresent && it.address != push.from }.shuffled(random).take(FANOUT).forEach {
            scope.launch { network.call(it.address, CatalogMethods.PUSH, forwarded, PUSH_TIMEOUT) }
        }
    }

    private fun onFetch(request: ConfigFetch): ConfigFetchResponse {
        if (request.snapshot > 0) return snapshotParts.part(request.snapshot, request.part)
        val deltas = state.deltasAfter(request.after) ?: return snapshotParts.first()
        return ConfigFetchResponse(deltas.take(DELTAS_PER_FETCH).map(::encodeDelta))
    }

    private fun onProbe(): FreshnessResponse {
        val report = keyFreshness.report(clock.now()) { state.current.version }
        return FreshnessResponse(
            from = report.from.value,
            started = report.started,
            version = report.version,
            storeAgeMillis = report.storeAge?.let { it.inWholeMilliseconds + 1 } ?: NO_AGE,
            nodeAges = NodeAgeCodec.encode(report.nodeAges),
        )
    }

    private fun FreshnessResponse.toReport(members: Set<NodeId>) = FreshnessReport(
        from = NodeId(from),
        started = started,
        version = version,
        storeAge = storeAgeMillis.takeIf { it >= 0 }?.milliseconds,
        nodeAges = NodeAgeCodec.decode(nodeAges, members),
    )

    private fun self(): PeerAddress = membership.view.value.self.address

    private fun decodeDelta(json: String): Delta = CatalogJson.compact.decodeFromString(Delta.serializer(), json)

    private fun encodeDelta(delta: Delta): String = CatalogJson.compact.encodeToString(Delta.serializer(), delta)

    private companion object {
        const val MAX_CONCURRENT_PUSHES = 64
        const val FANOUT = 2
        const val PUSH_RETRIES = 3
        const val DELTAS_PER_FETCH = 8
        const val NO_AGE = -1L
        val PUSH_TIMEOUT = 1.seconds
        val PUSH_RETRY_DELAY = 1.seconds
        val ROUND_RETRY_DELAY = 100.milliseconds
        val MAJORITY_TIMEOUT = 2500.milliseconds
        val PROBE_TIMEOUT = 800.milliseconds
        val FETCH_TIMEOUT = 3.seconds
    }
}
