package org.persimmonrelay.measure

import kotlinx.coroutines.runBlocking
import org.persimmonrelay.catalog.ApiKey
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.CatalogChange
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.CatalogRepository
import org.persimmonrelay.catalog.CatalogState
import org.persimmonrelay.catalog.ChangeRequest
import org.persimmonrelay.catalog.DefaultCatalogView
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.ObjectKind
import org.persimmonrelay.catalog.ObjectRef
import org.persimmonrelay.catalog.OperationIdGenerator
import org.persimmonrelay.catalog.SnapshotRepository
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.TableClientSettings
import org.persimmonrelay.standin.StandInObjectStore
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.timeline.EventSink
import kotlin.random.Random

/** Measures median times of single catalog changes and key verifications, in microseconds. */
internal class CatalogChangeTimes(
    private val generator: CatalogGenerator,
    private val stopwatch: Stopwatch,
    private val clock: Clock,
    private val seed: Long,
) {
    /** Withdraws a key, then queries the new view as requests do. */
    fun keyChangeMicros(view: DefaultCatalogView): Double = changeMicros(view, ::withdrawnKey)

    /** Sets or clears the drain flag of a backend server. */
    fun serverChangeMicros(view: DefaultCatalogView): Double = changeMicros(view) { now, round ->
        val server = now.named(ObjectKind.SERVER, "server-$round") as BackendServerConfig
        server.copy(drain = !server.drain)
    }

    /** Changes a deployment's limit of output tokens. */
    fun deploymentChangeMicros(view: DefaultCatalogView): Double = changeMicros(view) { now, round ->
        (now.named(ObjectKind.DEPLOYMENT, "model-0") as Deployment).copy(maxOutputTokens = round + 1)
    }

    /** Applies an operator's change: validates, encodes, commits to the table and adopts it. */
    fun applyMicros(view: DefaultCatalogView): Double {
        val table = ReliableTable(StandInTable(), clock, Random(seed), UNLIMITED)
        val state = CatalogState(EventSink.NONE)
        val operations = OperationIdGenerator(Random(seed))
        val snapshots = SnapshotRepository(StandInObjectStore(), table, state, operations, EventSink.NONE)
        val repository = CatalogRepository(table, state, snapshots, operations, EventSink.NONE)
        view.objects.chunked(OBJECTS_PER_CHANGE).forEach { chunk -> repository.applyAll(chunk) }
        check(state.current.objects.size == view.objects.size) { "Some changes were not accepted." }
        var round = 0
        return stopwatch.medianMicros(ROUNDS) { repository.applyAll(listOf(withdrawnKey(state.current, round++))) }
    }

    /** Computes the digest of a presented key and looks the key up. */
    fun verificationMicros(view: DefaultCatalogView): Double {
        val presented = generator.presentedKey(1)
        return stopwatch.medianMicros(ROUNDS) {
            repeat(VERIFICATIONS) { checkNotNull(view.keyByDigest(generator.digester.digest(presented))) }
        } / VERIFICATIONS
    }

    private fun changeMicros(start: DefaultCatalogView, change: (DefaultCatalogView, Int) -> CatalogObject): Double {
        var view = start
        queryAll(view)
        var round = 0
        return stopwatch.medianMicros(ROUNDS) {
            view = view.with(listOf(CatalogChange.Put(change(view, round++))))
            queryAll(view)
        }
    }

    private fun queryAll(view: DefaultCatalogView) {
        val workspace = checkNotNull(view.workspace("workspace-0")) { "The configuration has no workspace." }
        view.deploymentsFor(workspace).forEach {
            view.serversOf(it)
            view.limitsFor(workspace, it)
        }
    }

    private fun CatalogRepository.applyAll(objects: List<CatalogObject>) = runBlocking {
        apply(ChangeRequest.of(*objects.map(CatalogChange::Put).toTypedArray()))
    }

    private fun withdrawnKey(view: DefaultCatalogView, round: Int): CatalogObject =
        (view.named(ObjectKind.KEY, "key-$round") as ApiKey).copy(withdrawn = true)

    private fun DefaultCatalogView.named(kind: ObjectKind, name: String): CatalogObject =
        checkNotNull(find(ObjectRef(kind, name))) { "The configuration has no $name." }

    private companion object {
        val UNLIMITED = TableClientSettings(readsPerSecond = 1e9, writesPerSecond = 1e9)
        const val ROUNDS = 200
        const val VERIFICATIONS = 100
        const val OBJECTS_PER_CHANGE = 500
    }
}
