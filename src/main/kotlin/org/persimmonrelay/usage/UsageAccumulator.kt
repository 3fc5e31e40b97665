package org.persimmonrelay.usage

import org.persimmonrelay.identity.WorkspaceId
import java.util.concurrent.ConcurrentHashMap

/** Counts of one window since the last drain; [windowStart] is in milliseconds since the Unix epoch. */
internal data class WindowUsage(val windowStart: Long, val usage: List<WorkspaceUsage>)

/** Counts since the last [drain], per window and workspace. Thread-safe. */
internal class UsageAccumulator {
    private val counts = ConcurrentHashMap<Pair<Long, WorkspaceId>, WorkspaceUsage>()

    /** Counts one request in the window that begins at [windowStart], in milliseconds since the Unix epoch. */
    fun record(windowStart: Long, workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) {
        val added = WorkspaceUsage(workspace.value, promptTokens, outputTokens, 1)
        counts.merge(windowStart to workspace, added, ::sum)
    }

    /** Removes and returns all counts, oldest window first; concurrent records are in this result or the next. */
    fun drain(): List<WindowUsage> = counts.keys
        .mapNotNull { key -> counts.remove(key)?.let { key.first to it } }
        .groupBy({ it.first }, { it.second })
        .toSortedMap()
        .map { (start, usage) -> WindowUsage(start, usage.sortedBy { it.workspace }) }
}

/** The sum of [a] and [b], which must be of the same workspace. */
internal fun sum(a: WorkspaceUsage, b: WorkspaceUsage): WorkspaceUsage = WorkspaceUsage(
    workspace = a.workspace,
    promptTokens = a.promptTokens + b.promptTokens,
    outputTokens = a.outputTokens + b.outputTokens,
    requests = a.requests + b.requests,
)
