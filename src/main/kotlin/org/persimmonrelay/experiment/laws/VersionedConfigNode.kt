package org.persimmonrelay.experiment.laws

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.MutableStateFlow
import org.persimmonrelay.catalog.ApiKey
import org.persimmonrelay.catalog.CatalogChange
import org.persimmonrelay.catalog.CatalogDependencies
import org.persimmonrelay.catalog.CatalogOptions
import org.persimmonrelay.catalog.CatalogService
import org.persimmonrelay.catalog.ChangeFailure
import org.persimmonrelay.catalog.ChangeReceipt
import org.persimmonrelay.catalog.ChangeRequest
import org.persimmonrelay.catalog.Workspace
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.membership.MembershipView
import org.persimmonrelay.peer.PeerNetwork
import org.persimmonrelay.platform.ObjectStore
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.timeline.EventSink
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.random.Random

/** Collaborators of a simulated node. */
internal class ConfigNodeDependencies(
    val process: VirtualProcess,
    val table: TableService,
    val objects: ObjectStore,
    val network: PeerNetwork,
    val members: MutableStateFlow<MembershipView>,
    val random: Random,
)

/** Runs the real configuration service in virtual time. */
internal class VersionedConfigNode(private val dependencies: ConfigNodeDependencies) : ConfigNode {
    private val membership = object : Membership {
        override val view = dependencies.members

        override suspend fun leave() = Unit
    }
    private val service = CatalogService(
        dependencies = CatalogDependencies(
            table = ReliableTable(dependencies.table, dependencies.process.clock, dependencies.random),
            objects = dependencies.objects,
            network = dependencies.network,
            membership = membership,
            clock = dependencies.process.clock,
            random = dependencies.random,
            events = EventSink.NONE,
            background = EmptyCoroutineContext,
        ),
        scope = dependencies.process.scope,
        keySecret = SECRET,
        options = CatalogOptions(versionsPerSnapshot = VERSIONS_PER_SNAPSHOT),
    )

    override val ready: Boolean
        get() = service.follower.ready.value
    override val version: Long
        get() = service.state.current.version
    override val names: Set<String>
        get() = service.state.current.objects.mapTo(mutableSetOf()) { it.name }

    override fun start() {
        service.register()
        service.start()
    }

    override suspend fun put(name: String): ChangeOutcome = outcomeOf(
        service.manager.apply(ChangeRequest.of(CatalogChange.Put(newObject(name)))),
    )

    override suspend fun withdraw(name: String): ChangeOutcome = outcomeOf(
        service.manager.apply(
            ChangeRequest({ view ->
                val key = view.key(name)
                if (key == null) ChangeFailure.Conflict(view.version, "").left() else withdrawal(key).right()
            }),
        ),
    )

    override fun admits(name: String): Boolean {
        val key = service.state.current.key(name) ?: return false
        return !key.withdrawn && service.keyFreshness.isFresh(dependencies.process.clock.now())
    }

    private fun withdrawal(key: ApiKey): List<CatalogChange> = listOf(CatalogChange.Put(key.copy(withdrawn = true)))

    private fun newObject(name: String) = when {
        name.startsWith(KEY_PREFIX) -> ApiKey(name, digest = service.digester.digest(name))
        else -> Workspace(name)
    }

    private fun outcomeOf(result: Either<ChangeFailure, ChangeReceipt>): ChangeOutcome = when (result) {
        is Either.Right ->
            if (result.value.replication?.isMajority != false) ChangeOutcome.CONFIRMED else ChangeOutcome.ACCEPTED

        is Either.Left ->
            if (result.value is ChangeFailure.OutcomeUnknown) ChangeOutcome.UNKNOWN else ChangeOutcome.REFUSED
    }

    companion object {
        /** Objects whose names start with this are API keys; all others are workspaces. */
        const val KEY_PREFIX = "key"
        private const val VERSIONS_PER_SNAPSHOT = 5L
        private val SECRET = ByteArray(32) { 1 }
    }
}
