package org.persimmonrelay.measure

import kotlinx.serialization.Serializable

/** What the configuration costs a node, at several sizes. */
@Serializable
public data class CatalogFigures(val sizes: List<CatalogFigure>)

/**
 * The configuration at one size. Times are medians in microseconds unless the name says milliseconds; bytes of
 * objects are of the heap, [snapshotBytes] of the compressed object in the store.
 */
@Serializable
public data class CatalogFigure(
    val workspaces: Int,
    val keys: Int,
    val servers: Int,
    val bytesPerWorkspace: Double,
    val bytesPerKey: Double,
    val bytesPerServer: Double,
    val keyChangeMicros: Double,
    val serverChangeMicros: Double,
    val deploymentChangeMicros: Double,
    val applyMicros: Double,
    val verifyMicros: Double,
    val snapshotBytes: Int,
    val snapshotWriteMillis: Double,
    val snapshotLoadMillis: Double,
)
