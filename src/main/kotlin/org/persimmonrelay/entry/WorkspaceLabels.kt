package org.persimmonrelay.entry

import java.util.concurrent.ConcurrentHashMap

/** Bounds the values of the workspace label: the first [limit] workspaces with traffic keep their name. */
internal class WorkspaceLabels(private val limit: Int) {
    private val named = ConcurrentHashMap.newKeySet<String>()

    fun of(workspace: String): String {
        if (workspace in named) return workspace
        if (named.size >= limit) return OTHER
        named.add(workspace)
        return workspace
    }

    private companion object {
        const val OTHER = "other"
    }
}
