package org.persimmonrelay.usage

import org.persimmonrelay.identity.WorkspaceId

/** Counts usage by workspace. Thread-safe and non-blocking; called once per completed or cancelled request. */
public interface UsageMeter {
    /** Adds one request of [workspace] with its tokens. */
    public fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long)
}
