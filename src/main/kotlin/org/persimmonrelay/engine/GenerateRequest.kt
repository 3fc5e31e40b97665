package org.persimmonrelay.engine

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.RequestId

/**
 * Work for an engine.
 *
 * [attempt] numbers the sends of one request; pieces carry it back so that late pieces of an abandoned
 * attempt are recognised. [resumeAt] is the count of output tokens that the caller already has.
 * [importFrom] names the engine that holds the prompt's KV cache, when prefill ran elsewhere.
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
