package org.persimmonrelay.catalog

/** Cuts the present configuration into parts that fit a message, for peers that are far behind. Thread-safe. */
internal class SnapshotParts(private val state: CatalogState) {
    private var version = 0L
    private var bytes = ByteArray(0)

    /** The first part of the present configuration; later parts are of the same version. */
    @Synchronized
    fun first(): ConfigFetchAnswer {
        val view = state.current
        if (view.version != version) {
            bytes = CatalogJson.encode(Snapshot(view.version, view.storedObjects()))
            version = view.version
        }
        return part(version, 0)
    }

    /** One part, or an empty answer when another version has taken its place and the peer has to start again. */
    @Synchronized
    fun part(wanted: Long, part: Int): ConfigFetchAnswer {
        val start = part * PART_BYTES
        if (wanted != version || start >= bytes.size) return ConfigFetchAnswer()
        val end = minOf(start + PART_BYTES, bytes.size)
        return ConfigFetchAnswer(
            snapshot = version,
            parts = (bytes.size + PART_BYTES - 1) / PART_BYTES,
            bytes = bytes.copyOfRange(start, end),
        )
    }

    private companion object {
        const val PART_BYTES = 512 * 1024
    }
}
