package org.persimmonrelay.measure

import org.persimmonrelay.clock.SystemClock

/** What the configuration costs a node as it grows, as slopes. */
public class ConfigurationMeasure : Measure {
    override val name: String = "configuration"

    override fun run(): List<Slope> {
        val sizes = CatalogMeasure(SystemClock, SEED).run().sizes
        return listOf(
            slope("configuration held", "heap bytes", "workspace", sizes) { it.workspaces * it.bytesPerWorkspace },
            slope("keys held", "heap bytes", "key", sizes, { it.keys }) { it.keys * it.bytesPerKey },
            slope("servers held", "heap bytes", "backend server", sizes, { it.servers }) {
                it.servers * it.bytesPerServer
            },
            slope("key change taken over", "µs of a core", "workspace", sizes) { it.keyChangeMicros },
            slope("server change taken over", "µs of a core", "workspace", sizes) { it.serverChangeMicros },
            slope("snapshot loaded", "ms", "workspace", sizes) { it.snapshotLoadMillis },
            slope("snapshot size", "bytes", "workspace", sizes) { it.snapshotBytes.toDouble() },
        )
    }

    private fun slope(
        name: String,
        what: String,
        per: String,
        sizes: List<CatalogFigure>,
        x: (CatalogFigure) -> Int = { it.workspaces },
        y: (CatalogFigure) -> Double,
    ) = Slope.fit(name, what, per, sizes.map { MeasurePoint(x(it).toDouble(), y(it)) })

    private companion object {
        const val SEED = 1L
    }
}
