package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.PromptCacheDelta
import org.persimmonrelay.backend.PromptCacheSnapshot
import org.persimmonrelay.http.OutgoingRequest
import kotlin.time.Duration

/** Builds the requests for reports of an engine's prompt cache and parses the responses. */
public interface EngineReportProtocol {
    /** Request for the changes after number [after]. The engine holds the call for up to [wait] until there is one. */
    public fun deltaRequest(server: BackendServer, after: Long, wait: Duration): OutgoingRequest

    /** Parses the changes in the [body] of a response; null when it is malformed. */
    public fun parseDelta(body: ByteArray): PromptCacheDelta?

    /** Request for the full contents of the prompt cache. To list them delays the engine's work. */
    public fun snapshotRequest(server: BackendServer): OutgoingRequest

    /** Parses the full contents in the [body] of a response; null when it is malformed. */
    public fun parseSnapshot(body: ByteArray): PromptCacheSnapshot?
}
