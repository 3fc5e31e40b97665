package org.persimmonrelay.usage

import org.persimmonrelay.identity.WorkspaceId

/** Counts what workspaces use. Thread-safe, never blocks; called once per finished or cut request. */
public interface UsageMeter {
    /** Adds one request of [workspace] with the tokens it used. */
    public fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long)
}
