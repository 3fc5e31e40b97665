package org.persimmonrelay.engine

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.RequestId

/**
 * A request to an engine to generate output.
 *
 * [attempt] numbers the attempts at one request; each output chunk repeats it, so that late chunks of an abandoned
 * attempt can be recognised. [resumeAt] is the number of output tokens that the caller has already received.
 * [importFrom] is the address of the engine that holds the prompt's KV cache, if prefill ran on another engine.
 */
@Serializable
public data class GenerateRequest(
    val request: RequestId,
    val attempt: Int,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val priority: Int = 0,
    val resumeAt: Int = 0,
    val prefillOnly: Boolean = false,
    val importFrom: String? = null,
)
