package org.persimmonrelay.entry

import java.util.concurrent.ConcurrentHashMap

/** Limits the values of the workspace label: the first [limit] workspaces with traffic are named, the rest `other`. */
internal class WorkspaceLabels(private val limit: Int) {
    private val labelled = ConcurrentHashMap.newKeySet<String>()

    fun of(workspace: String): String {
        if (workspace in labelled) return workspace
        if (labelled.size >= limit) return OTHER
        labelled.add(workspace)
        return workspace
    }

    private companion object {
        const val OTHER = "other"
    }
}
