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
 * Dependencies of [CatalogService]. [random] must be seeded differently on each node. Snapshots are encoded in
 * [background].
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

/**
 * Intervals and limits of the configuration. [keyFreshnessLimit] is how long key states may be used after they were
 * last confirmed as the newest.
 */
public data class CatalogOptions(
    val pollInterval: Duration = 2.seconds,
    val keyFreshnessLimit: Duration = 8.seconds,
    val versionsPerSnapshot: Long = 200,
) {
    public companion object {
        /** Options from the values in the settings. */
        public fun of(configPollMillis: Long, keyFreshnessSeconds: Double): CatalogOptions =
            CatalogOptions(configPollMillis.milliseconds, keyFreshnessSeconds.seconds)
    }
}

/** Creates and connects the components that read, change and update the configuration of one node. */
public class CatalogService(
    private val dependencies: CatalogDependencies,
    private val scope: CoroutineScope,
    keySecret: ByteArray,
    options: CatalogOptions = CatalogOptions(),
) {
    private val events = dependencies.events
    private val operations = OperationIdGenerator(dependencies.random)

    /** The current configuration. */
    public val state: CatalogState = CatalogState(events)

    /** Tracks whether key states are recent enough to use. */
    public val keyFreshness: KeyFreshnessTracker =
        KeyFreshnessTracker(dependencies.membership, options.keyFreshnessLimit)

    /** Computes keyed digests with the secret that all nodes share. */
    public val digester: KeyDigester = KeyDigester(keySecret)

    /** Verifies the key of each request. */
    public val keys: KeyVerifier = DefaultKeyVerifier(state, digester, keyFreshness)

    /** Looks up the state of keys while requests wait and run. */
    public val keyStates: KeyStateLookup = DefaultKeyStateLookup(state)

    private val snapshots = SnapshotRepository(
        objects = dependencies.objects,
        table = dependencies.table,
        state = state,
        operations = operations,
        events = events,
        versionsPerSnapshot = options.versionsPerSnapshot,
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

    /** Accepts changes of operators. */
    public val manager: CatalogManager = CatalogManager(repository, peers, snapshots, state, scope, events)

    /** Adopts changes that other nodes accept; `ready` states whether this node may serve requests. */
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

    /** Registers the handlers for calls of peers. Must be called before this node joins the membership. */
    public fun register(): Unit = peers.register()

    /** Starts the update loops, which run until the scope is cancelled. */
    public fun start(): Unit = follower.launchIn(scope)
}
