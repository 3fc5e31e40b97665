package org.persimmonrelay.measure

import kotlinx.coroutines.runBlocking
import org.persimmonrelay.catalog.ApiKey
import org.persimmonrelay.catalog.BackendServer
import org.persimmonrelay.catalog.CatalogJson
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.CatalogRepository
import org.persimmonrelay.catalog.CatalogState
import org.persimmonrelay.catalog.Change
import org.persimmonrelay.catalog.ChangeRequest
import org.persimmonrelay.catalog.DefaultCatalogView
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.KeyDigester
import org.persimmonrelay.catalog.ObjectKind
import org.persimmonrelay.catalog.ObjectRef
import org.persimmonrelay.catalog.OperationIds
import org.persimmonrelay.catalog.Snapshot
import org.persimmonrelay.catalog.SnapshotRepository
import org.persimmonrelay.catalog.StoredObject
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.TableClientSettings
import org.persimmonrelay.standin.StandInObjectStore
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.timeline.EventSink
import kotlin.random.Random

/** Measures what the configuration costs one node in memory and time, on stand-in stores without delay. */
public class CatalogMeasure(private val clock: Clock, private val seed: Long) {
    private val digester = KeyDigester(ByteArray(SECRET_BYTES) { it.toByte() })
    private val sizes = CatalogSizes(digester)
    private val stopwatch = Stopwatch(clock)

    /** Figures at each of [scales]; 1.0 is 18,000 workspaces, 40,000 keys and 1,300 backend servers. */
    public fun run(scales: List<Double> = SCALES): CatalogFigures {
        figure(scales.min())
        return CatalogFigures(scales.map(::figure))
    }

    private fun figure(scale: Double): CatalogFigure {
        val objects = sizes.objects(scale)
        val view = DefaultCatalogView.of(1, objects)
        val snapshot = CatalogJson.encode(Snapshot(1, view.stored()))
        return CatalogFigure(
            workspaces = view.count(ObjectKind.WORKSPACE),
            keys = view.count(ObjectKind.KEY),
            servers = view.count(ObjectKind.SERVER),
            bytesPerWorkspace = bytesPer { sizes.workspaces(view.count(ObjectKind.WORKSPACE)) },
            bytesPerKey = bytesPer { sizes.keys(view.count(ObjectKind.KEY), view.count(ObjectKind.WORKSPACE)) },
            bytesPerServer = bytesPer { sizes.servers(view.count(ObjectKind.SERVER)) },
            keyChangeMicros = changeMicros(view, ::withdrawnKey),
            serverChangeMicros = changeMicros(view, ::drainedServer),
            deploymentChangeMicros = changeMicros(view, ::otherDeployment),
            applyMicros = applyMicros(objects),
            verifyMicros = verifyMicros(view),
            snapshotBytes = snapshot.size,
            snapshotWriteMillis = stopwatch.medianMicros(SNAPSHOT_ROUNDS) {
                CatalogJson.encode(Snapshot(1, view.stored()))
            } / MICROS_PER_MILLI,
            snapshotLoadMillis = stopwatch.medianMicros(SNAPSHOT_ROUNDS) {
                CatalogState(EventSink.NONE).adopt(CatalogJson.decodeSnapshot(snapshot))
            } / MICROS_PER_MILLI,
        )
    }

    /** One change, and then what traffic asks of the new view. */
    private fun changeMicros(start: DefaultCatalogView, change: (DefaultCatalogView, Int) -> CatalogObject): Double {
        var view = start
        askAll(view)
        var round = 0
        return stopwatch.medianMicros(CHANGE_ROUNDS) {
            view = view.with(listOf(Change.Put(change(view, round++))))
            askAll(view)
        }
    }

    private fun askAll(view: DefaultCatalogView) {
        val workspace = checkNotNull(view.workspace("workspace-0")) { "The configuration has no workspace." }
        view.deploymentsFor(workspace).forEach { view.serversOf(it) }
        view.limitsFor(workspace)
    }

    private fun withdrawnKey(view: DefaultCatalogView, round: Int): CatalogObject =
        (find(view, ObjectKind.KEY, "key-$round") as ApiKey).copy(withdrawn = true)

    private fun drainedServer(view: DefaultCatalogView, round: Int): CatalogObject {
        val server = find(view, ObjectKind.SERVER, "server-$round") as BackendServer
        return server.copy(drain = !server.drain)
    }

    private fun otherDeployment(view: DefaultCatalogView, round: Int): CatalogObject =
        (find(view, ObjectKind.DEPLOYMENT, "model-0") as Deployment).copy(maxOutputTokens = round + 1)

    private fun find(view: DefaultCatalogView, kind: ObjectKind, name: String): CatalogObject =
        checkNotNull(view.find(ObjectRef(kind, name))) { "The configuration has no $name." }

    private fun applyMicros(objects: List<StoredObject>): Double = runBlocking {
        val table = ReliableTable(StandInTable(), clock, Random(seed), UNLIMITED)
        val state = CatalogState(EventSink.NONE)
        val operations = OperationIds(Random(seed))
        val snapshots = SnapshotRepository(StandInObjectStore(), table, state, operations, EventSink.NONE)
        val repository = CatalogRepository(table, state, snapshots, operations, EventSink.NONE)
        objects.chunked(OBJECTS_PER_CHANGE).forEach { chunk ->
            repository.apply(ChangeRequest.of(*chunk.map { Change.Put(it.value) }.toTypedArray()))
        }
        check(state.current.objects.size == objects.size) { "Some changes were not accepted." }
        var round = 0
        stopwatch.medianMicros(CHANGE_ROUNDS) {
            runBlocking { repository.apply(ChangeRequest.of(Change.Put(withdrawnKey(state.current, round++)))) }
        }
    }

    private fun verifyMicros(view: DefaultCatalogView): Double {
        val presented = sizes.presented(1)
        return stopwatch.medianMicros(CHANGE_ROUNDS) {
            repeat(VERIFICATIONS) { checkNotNull(view.keyByDigest(digester.digest(presented))) }
        } / VERIFICATIONS
    }

    private fun bytesPer(make: () -> List<CatalogObject>): Double {
        val before = MemoryGauge.heapBytes()
        val view = DefaultCatalogView.of(1, make().map { StoredObject(1, it) })
        val after = MemoryGauge.heapBytes()
        return (after - before).toDouble() / view.stored().size
    }

    private companion object {
        val SCALES = listOf(0.25, 0.5, 1.0)
        val UNLIMITED = TableClientSettings(readsPerSecond = 1e9, writesPerSecond = 1e9)
        const val SECRET_BYTES = 32
        const val CHANGE_ROUNDS = 300
        const val SNAPSHOT_ROUNDS = 9
        const val VERIFICATIONS = 100
        const val OBJECTS_PER_CHANGE = 500
        const val MICROS_PER_MILLI = 1_000.0
    }
}
