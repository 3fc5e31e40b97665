package org.persimmonrelay.usage

import org.persimmonrelay.identity.WorkspaceId

/** Takes the tokens that a workspace used. Thread-safe and without waiting. */
public interface UsageMeter {
    public fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long)
}
