package org.persimmonrelay.routing

import org.persimmonrelay.identity.WorkspaceId

/** Estimates which share of the allowed output tokens the requests of each workspace generate. Not thread-safe. */
internal class OutputEstimator {
    private val shares =
        object : LinkedHashMap<WorkspaceId, Double>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<WorkspaceId, Double>): Boolean =
                size > MAX_WORKSPACES
        }

    private var meanShare = INITIAL_SHARE
    private var ended = 0L

    /** Expected output tokens of a request that is allowed [limit]. */
    fun expected(workspace: WorkspaceId, limit: Int): Int = maxOf(1, (limit * (shares[workspace] ?: meanShare)).toInt())

    fun observed(workspace: WorkspaceId, limit: Int, outputTokens: Int) {
        if (limit <= 0) return
        val share = minOf(1.0, outputTokens.toDouble() / limit)
        val before = shares[workspace] ?: meanShare
        shares[workspace] = before + (share - before) * GAIN
        ended++
        meanShare += (share - meanShare) * maxOf(GAIN, 1.0 / ended)
    }

    private companion object {
        const val INITIAL_SHARE = 0.33
        const val GAIN = 0.05
        const val MAX_WORKSPACES = 20_000
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
