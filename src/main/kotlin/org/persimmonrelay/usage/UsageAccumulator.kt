package org.persimmonrelay.usage

import org.persimmonrelay.identity.WorkspaceId
import java.util.concurrent.ConcurrentHashMap

/** Counts since the last [drain], per workspace. Thread-safe. */
internal class UsageAccumulator : UsageMeter {
    private val counts = ConcurrentHashMap<WorkspaceId, WorkspaceUsage>()

    override fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) {
        val added = WorkspaceUsage(workspace.value, promptTokens, outputTokens, 1)
        counts.merge(workspace, added, ::sum)
    }

    /** Takes out all counts; what is recorded meanwhile is in this or the next result. */
    fun drain(): List<WorkspaceUsage> = counts.keys.mapNotNull { counts.remove(it) }.sortedBy { it.workspace }
}

/** The sum of [a] and [b], which are of one workspace. */
internal fun sum(a: WorkspaceUsage, b: WorkspaceUsage): WorkspaceUsage = WorkspaceUsage(
    workspace = a.workspace,
    promptTokens = a.promptTokens + b.promptTokens,
    outputTokens = a.outputTokens + b.outputTokens,
    requests = a.requests + b.requests,
)
