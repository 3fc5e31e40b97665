package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.PromptCacheDelta
import org.persimmonrelay.backend.PromptCacheSnapshot
import org.persimmonrelay.http.OutgoingRequest
import kotlin.time.Duration

/** Writes and reads the calls by which engines report what they keep of prompts. */
public interface EngineReportProtocol {
    /** Asks for changes behind the one numbered [after]; the engine waits up to [wait] for one. */
    public fun deltaRequest(server: BackendServer, after: Long, wait: Duration): OutgoingRequest

    /** The changes in the [body] of an answer; null when it can't be read. */
    public fun parseDelta(body: ByteArray): PromptCacheDelta?

    /** Asks for all that the engine keeps, which delays its work. */
    public fun snapshotRequest(server: BackendServer): OutgoingRequest

    /** The list in the [body] of an answer; null when it can't be read. */
    public fun parseSnapshot(body: ByteArray): PromptCacheSnapshot?
}
