package org.persimmonrelay.catalog

/** Splits the current configuration into parts that fit into a message, for peers that are far behind. Thread-safe. */
internal class SnapshotParts(private val state: CatalogState) {
    private var version = 0L
    private var bytes = ByteArray(0)

    /** Encodes the current configuration and returns its first part. [part] returns the rest of the same version. */
    @Synchronized
    fun first(): ConfigFetchResponse {
        val view = state.current
        if (view.version != version) {
            bytes = CatalogJson.encode(Snapshot(view.version, view.storedObjects()))
            version = view.version
        }
        return part(version, 0)
    }

    /** One part; empty when the snapshot was replaced by a newer one, so that the peer must start again. */
    @Synchronized
    fun part(requestedVersion: Long, part: Int): ConfigFetchResponse {
        val start = part * PART_BYTES
        if (requestedVersion != version || start >= bytes.size) return ConfigFetchResponse()
        val end = minOf(start + PART_BYTES, bytes.size)
        return ConfigFetchResponse(
            snapshot = version,
            parts = (bytes.size + PART_BYTES - 1) / PART_BYTES,
            bytes = bytes.copyOfRange(start, end),
        )
    }

    private companion object {
        const val PART_BYTES = 512 * 1024
    }
}
