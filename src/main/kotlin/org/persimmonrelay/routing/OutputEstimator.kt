package org.persimmonrelay.routing

import org.persimmonrelay.identity.WorkspaceId

/** Learns how much of the allowed output the requests of each workspace really write. Not thread-safe. */
internal class OutputEstimator {
    private val shares =
        object : LinkedHashMap<WorkspaceId, Double>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<WorkspaceId, Double>): Boolean =
                size > MAX_WORKSPACES
        }

    private var usual = INITIAL_SHARE
    private var ended = 0L

    /** Output tokens expected of a request that may write [most]. */
    fun expected(workspace: WorkspaceId, most: Int): Int = maxOf(1, (most * (shares[workspace] ?: usual)).toInt())

    fun observed(workspace: WorkspaceId, most: Int, written: Int) {
        if (most <= 0) return
        val share = minOf(1.0, written.toDouble() / most)
        val before = shares[workspace] ?: usual
        shares[workspace] = before + (share - before) * GAIN
        ended++
        usual += (share - usual) * maxOf(GAIN, 1.0 / ended)
    }

    private companion object {
        const val INITIAL_SHARE = 0.33
        const val GAIN = 0.05
        const val MAX_WORKSPACES = 20_000
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
