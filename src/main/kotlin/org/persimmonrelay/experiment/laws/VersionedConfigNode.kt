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

/** What a modelled node gets from its world. */
internal class NodeParts(
    val process: VirtualProcess,
    val table: TableService,
    val objects: ObjectStore,
    val network: PeerNetwork,
    val members: MutableStateFlow<MembershipView>,
    val random: Random,
)

/** The real configuration service in virtual time. */
internal class VersionedConfigNode(private val parts: NodeParts) : ConfigNode {
    private val membership = object : Membership {
        override val view = parts.members

        override suspend fun leave() = Unit
    }
    private val service = CatalogService(
        dependencies = CatalogDependencies(
            table = ReliableTable(parts.table, parts.process.clock, parts.random),
            objects = parts.objects,
            network = parts.network,
            membership = membership,
            clock = parts.process.clock,
            random = parts.random,
            events = EventSink.NONE,
            background = EmptyCoroutineContext,
        ),
        scope = parts.process.scope,
        keySecret = SECRET,
        options = CatalogOptions(versionsPerSnapshot = SNAPSHOT_EVERY),
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

    override suspend fun put(name: String): PutEnd = end(
        service.manager.apply(ChangeRequest.of(CatalogChange.Put(newObject(name)))),
    )

    override suspend fun withdraw(name: String): PutEnd = end(
        service.manager.apply(
            ChangeRequest({ view ->
                val key = view.key(name)
                if (key == null) ChangeFailure.Conflict(view.version, "").left() else withdrawal(key).right()
            }),
        ),
    )

    override fun admits(name: String): Boolean {
        val key = service.state.current.key(name) ?: return false
        return !key.withdrawn && service.keyFreshness.isFresh(parts.process.clock.now())
    }

    private fun withdrawal(key: ApiKey): List<CatalogChange> = listOf(CatalogChange.Put(key.copy(withdrawn = true)))

    private fun newObject(name: String) = when {
        name.startsWith(KEY_PREFIX) -> ApiKey(name, digest = service.digester.digest(name))
        else -> Workspace(name)
    }

    private fun end(result: Either<ChangeFailure, ChangeReceipt>): PutEnd = when (result) {
        is Either.Right -> if (result.value.replication?.isMajority != false) PutEnd.CONFIRMED else PutEnd.ACCEPTED
        is Either.Left -> if (result.value is ChangeFailure.OutcomeUnknown) PutEnd.UNKNOWN else PutEnd.REFUSED
    }

    companion object {
        /** Names of keys begin with this in the models. */
        const val KEY_PREFIX = "key"
        private const val SNAPSHOT_EVERY = 5L
        private val SECRET = ByteArray(32) { 1 }
    }
}
