package org.persimmonrelay.catalog

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.peer.PeerNetwork
import org.persimmonrelay.platform.ObjectStore
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.timeline.EventSink
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What the configuration of one node needs from the rest. [random] must differ from node to node; [background] runs
 * the encoding of snapshots.
 */
public data class CatalogDependencies(
    val table: ReliableTable,
    val objects: ObjectStore,
    val network: PeerNetwork,
    val membership: Membership,
    val clock: Clock,
    val random: Random,
    val events: EventSink,
    val background: CoroutineContext = Dispatchers.Default,
)

/** Periods and bounds of the configuration. */
public data class CatalogOptions(
    val pollInterval: Duration = 2.seconds,
    val keyFreshnessLimit: Duration = 8.seconds,
    val versionsPerSnapshot: Long = 200,
) {
    public companion object {
        /** Bounds from the settings' numbers. */
        public fun of(configPollMillis: Long, keyFreshnessSeconds: Double): CatalogOptions =
            CatalogOptions(configPollMillis.milliseconds, keyFreshnessSeconds.seconds)
    }
}

/** The configuration of one node, wired: what traffic reads, what operators change, and the loops behind both. */
public class CatalogService(
    private val dependencies: CatalogDependencies,
    private val scope: CoroutineScope,
    keySecret: ByteArray,
    options: CatalogOptions = CatalogOptions(),
) {
    private val events = dependencies.events
    private val operations = OperationIdGenerator(dependencies.random)

    /** The configuration in force. */
    public val state: CatalogState = CatalogState(events)

    /** Whether keys may be trusted now. */
    public val keyFreshness: KeyFreshnessTracker =
        KeyFreshnessTracker(dependencies.membership, options.keyFreshnessLimit)

    /** Computes keyed digests with the secret that all nodes share. */
    public val digester: KeyDigester = KeyDigester(keySecret)

    /** Verifies the key of each request. */
    public val keys: KeyVerifier = DefaultKeyVerifier(state, digester, keyFreshness)

    /** Watches for withdrawals while requests wait and run. */
    public val keyStates: KeyStateLookup = DefaultKeyStateLookup(state)

    private val snapshots = SnapshotRepository(
        objects = dependencies.objects,
        table = dependencies.table,
        state = state,
        operations = operations,
        events = events,
        every = options.versionsPerSnapshot,
        background = dependencies.background,
    )
    private val repository = CatalogRepository(dependencies.table, state, snapshots, operations, events)
    private val peers =
        CatalogPeers(
            network = dependencies.network,
            membership = dependencies.membership,
            state = state,
            keyFreshness = keyFreshness,
            clock = dependencies.clock,
            random = dependencies.random,
            scope = scope,
        )

    /** Accepts operators' changes. */
    public val manager: CatalogManager = CatalogManager(repository, peers, snapshots, state, scope, events)

    /** Follows the changes that other nodes accept; its `ready` tells whether the node may serve. */
    public val follower: CatalogFollower = CatalogFollower(
        repository = repository,
        peers = peers,
        state = state,
        keyFreshness = keyFreshness,
        clock = dependencies.clock,
        random = dependencies.random,
        pollInterval = options.pollInterval,
        events = events,
    )

    /** Answers peers from now on. To be called before the node joins. */
    public fun register(): Unit = peers.register()

    /** Starts to follow the configuration until the scope ends. */
    public fun start(): Unit = follower.launchIn(scope)
}
