package org.persimmonrelay.measure

import org.persimmonrelay.catalog.CatalogJson
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.CatalogState
import org.persimmonrelay.catalog.DefaultCatalogView
import org.persimmonrelay.catalog.Snapshot
import org.persimmonrelay.catalog.StoredObject
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.timeline.EventSink

/**
 * What the configuration costs one node: heap by kind of object, and the time of changes, key verification and
 * snapshots by the number of workspaces, with keys and backend servers in the proportion of the users' letter.
 * Stand-in stores answer without delay.
 */
public class CatalogMeasure(
    clock: Clock,
    seed: Long,
    private val scales: List<Double> = SCALES,
    private val repeats: Int = REPEATS,
) : Measure {
    override val name: String = "catalog"

    private val sizes = CatalogSizes()
    private val stopwatch = Stopwatch(clock)
    private val changes = CatalogChangeTimes(sizes, stopwatch, clock, seed)

    override fun run(): List<Slope> {
        warmUp()
        return heapSlopes() + timeSlopes()
    }

    private fun warmUp() = timeSlopes()

    private fun heapSlopes(): List<Slope> = listOf(
        Slope.fit(
            "configuration state",
            "heap bytes",
            "workspace",
            points(CatalogSizes.WORKSPACES) {
                bytes(sizes.workspaces(it))
            },
        ),
        Slope.fit("configuration state", "heap bytes", "key", points(CatalogSizes.KEYS) { bytes(sizes.keys(it, it)) }),
        Slope.fit(
            "configuration state",
            "heap bytes",
            "backend server",
            points(CatalogSizes.SERVERS) {
                bytes(sizes.servers(it))
            },
        ),
    )

    private fun timeSlopes(): List<Slope> {
        val views = scales.map { DefaultCatalogView.of(1, sizes.objects(it)) }
        return listOf(
            overViews("change of a key", "us", views, changes::ofKey),
            overViews("change of a backend server", "us", views, changes::ofServer),
            overViews("change of a deployment", "us", views, changes::ofDeployment),
            overViews("apply by an operator", "us", views, changes::ofApply),
            overViews("verification of a key", "us", views, changes::ofVerification),
            overViews("snapshot size", "bytes", views) { encoded(it).size.toDouble() },
            overViews("snapshot write", "us", views) { view -> stopwatch.medianMicros(SNAPSHOTS) { encoded(view) } },
            overViews("snapshot load", "us", views, ::loadMicros),
        )
    }

    private fun overViews(
        name: String,
        what: String,
        views: List<DefaultCatalogView>,
        reading: (DefaultCatalogView) -> Double,
    ): Slope {
        val points = views.flatMap { view ->
            val workspaces = CatalogSizes.workspacesIn(view).toDouble()
            List(repeats) { MeasurePoint(workspaces, reading(view)) }
        }
        return Slope.fit(name, what, "workspace", points)
    }

    private fun points(full: Int, reading: (Int) -> Double): List<MeasurePoint> =
        scales.map { (full * it).toInt() }.flatMap { size ->
            List(repeats) { MeasurePoint(size.toDouble(), reading(size)) }
        }

    private fun bytes(objects: List<CatalogObject>): Double {
        val snapshot = CatalogJson.encode(Snapshot(1, objects.map { StoredObject(1, it) }))
        val before = MemoryGauge.heapBytes()
        val state = loaded(snapshot)
        val used = MemoryGauge.heapBytes() - before
        check(state.current.version == 1L) { "The snapshot was not loaded." }
        return used.toDouble()
    }

    private fun encoded(view: DefaultCatalogView): ByteArray = CatalogJson.encode(Snapshot(1, view.storedObjects()))

    private fun loadMicros(view: DefaultCatalogView): Double {
        val snapshot = encoded(view)
        return stopwatch.medianMicros(SNAPSHOTS) { loaded(snapshot) }
    }

    private fun loaded(snapshot: ByteArray): CatalogState =
        CatalogState(EventSink.NONE).also { it.adopt(CatalogJson.decodeSnapshot(snapshot)) }

    private companion object {
        val SCALES = listOf(0.25, 0.5, 1.0)
        const val REPEATS = 3
        const val SNAPSHOTS = 5
    }
}
