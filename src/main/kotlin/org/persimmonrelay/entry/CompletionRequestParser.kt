package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal

/** Parses and validates the bodies of completion requests. */
internal object CompletionRequestParser {
    private val JSON = Json { ignoreUnknownKeys = true }

    fun parse(kind: CompletionKind, body: String): Either<Refusal.NotRun, CompletionParams> = when (kind) {
        CompletionKind.CHAT -> decode(ChatRequest.serializer(), body).flatMap(::params)
        CompletionKind.TEXT -> decode(CompletionRequest.serializer(), body).flatMap(::params)
    }

    private fun params(request: ChatRequest): Either<Refusal.NotRun, CompletionParams> {
        val parts = request.messages.flatMap { it.content }
        val unsupported = parts.firstOrNull { it.type != "text" || it.text == null }
        val maxTokens = request.maxCompletionTokens ?: request.maxTokens
        return when {
            request.messages.isEmpty() -> bad("`messages` is empty; send at least one message.").left()
            unsupported != null ->
                bad("Content parts of type `${unsupported.type}` aren't served; send text parts.").left()
            else -> validated(request.n, maxTokens) {
                CompletionParams(
                    CompletionKind.CHAT,
                    request.model,
                    promptOf(request.messages),
                    request.stream,
                    request.streamOptions?.includeUsage == true,
                    maxTokens,
                )
            }
        }
    }

    private fun params(request: CompletionRequest): Either<Refusal.NotRun, CompletionParams> {
        if (request.prompt.size != 1) return bad("Send one prompt per request.").left()
        return validated(request.n, request.maxTokens) {
            CompletionParams(
                CompletionKind.TEXT,
                request.model,
                request.prompt.single(),
                request.stream,
                request.streamOptions?.includeUsage == true,
                request.maxTokens,
            )
        }
    }

    private fun validated(
        n: Int?,
        maxTokens: Int?,
        build: () -> CompletionParams,
    ): Either<Refusal.NotRun, CompletionParams> = when {
        n != null && n != 1 -> bad("`n` must be 1; send one request per answer.").left()
        maxTokens != null && maxTokens < 1 -> bad("The token limit must be at least 1.").left()
        else -> build().right()
    }

    private fun promptOf(messages: List<ChatMessage>): String =
        messages.joinToString("\n", postfix = "\nassistant:") { message ->
            "${message.role}: ${message.content.joinToString("") { it.text.orEmpty() }}"
        }

    private fun <T> decode(deserializer: DeserializationStrategy<T>, body: String): Either<Refusal.NotRun, T> = try {
        JSON.decodeFromString(deserializer, body).right()
    } catch (e: SerializationException) {
        bad("The body isn't a valid request: ${e.message?.lineSequence()?.first()}").left()
    } catch (e: IllegalArgumentException) {
        bad("The body isn't a valid request: ${e.message?.lineSequence()?.first()}").left()
    }

    private fun bad(message: String) = Refusal.NotRun(NotRunReason.BAD_REQUEST, message)
}
