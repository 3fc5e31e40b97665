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
 * Cost of the configuration on one node: heap by kind of object, and the time of changes, key verification and
 * snapshots by the number of workspaces. Keys and backend servers are in the proportions that the users' requirements
 * state. The stand-in stores respond without delay.
 */
public class CatalogMeasure(
    clock: Clock,
    seed: Long,
    private val scales: List<Double> = SCALES,
    private val repeats: Int = REPEATS,
) : Measure {
    override val name: String = "catalog"

    private val generator = CatalogGenerator()
    private val stopwatch = Stopwatch(clock)
    private val changes = CatalogChangeTimes(generator, stopwatch, clock, seed)

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
            points(CatalogGenerator.WORKSPACES) {
                heapBytesOf(generator.workspaces(it))
            },
        ),
        Slope.fit(
            "configuration state",
            "heap bytes",
            "key",
            points(CatalogGenerator.KEYS) {
                heapBytesOf(generator.keys(it, it))
            },
        ),
        Slope.fit(
            "configuration state",
            "heap bytes",
            "backend server",
            points(CatalogGenerator.SERVERS) {
                heapBytesOf(generator.servers(it))
            },
        ),
    )

    private fun timeSlopes(): List<Slope> {
        val views = scales.map { DefaultCatalogView.of(1, generator.objects(it)) }
        return listOf(
            slopeByWorkspaces("change of a key", "us", views, changes::keyChangeMicros),
            slopeByWorkspaces("change of a backend server", "us", views, changes::serverChangeMicros),
            slopeByWorkspaces("change of a deployment", "us", views, changes::deploymentChangeMicros),
            slopeByWorkspaces("apply by an operator", "us", views, changes::applyMicros),
            slopeByWorkspaces("verification of a key", "us", views, changes::verificationMicros),
            slopeByWorkspaces("snapshot size", "bytes", views) { encoded(it).size.toDouble() },
            slopeByWorkspaces("snapshot write", "us", views) { view ->
                stopwatch.medianMicros(SNAPSHOTS) { encoded(view) }
            },
            slopeByWorkspaces("snapshot load", "us", views, ::loadMicros),
        )
    }

    private fun slopeByWorkspaces(
        name: String,
        what: String,
        views: List<DefaultCatalogView>,
        reading: (DefaultCatalogView) -> Double,
    ): Slope {
        val points = views.flatMap { view ->
            val workspaces = CatalogGenerator.workspacesIn(view).toDouble()
            List(repeats) { MeasurePoint(workspaces, reading(view)) }
        }
        return Slope.fit(name, what, "workspace", points)
    }

    private fun points(fullSize: Int, reading: (Int) -> Double): List<MeasurePoint> =
        scales.map { (fullSize * it).toInt() }.flatMap { size ->
            List(repeats) { MeasurePoint(size.toDouble(), reading(size)) }
        }

    private fun heapBytesOf(objects: List<CatalogObject>): Double {
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
