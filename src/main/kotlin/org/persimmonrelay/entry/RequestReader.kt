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

/** Turns bodies into [CompletionWork], or says what is wrong with them. */
internal object RequestReader {
    private val JSON = Json { ignoreUnknownKeys = true }

    fun read(form: AnswerForm, body: String): Either<Refusal.NotRun, CompletionWork> = when (form) {
        AnswerForm.CHAT -> decode(ChatRequest.serializer(), body).flatMap(::work)
        AnswerForm.TEXT -> decode(CompletionRequest.serializer(), body).flatMap(::work)
    }

    private fun work(request: ChatRequest): Either<Refusal.NotRun, CompletionWork> {
        val parts = request.messages.flatMap { it.content }
        val foreign = parts.firstOrNull { it.type != "text" || it.text == null }
        val maxTokens = request.maxCompletionTokens ?: request.maxTokens
        return when {
            request.messages.isEmpty() -> bad("`messages` is empty; send at least one message.").left()
            foreign != null -> bad("Content parts of type `${foreign.type}` aren't served; send text parts.").left()
            else -> checked(request.n, maxTokens) {
                CompletionWork(
                    AnswerForm.CHAT,
                    request.model,
                    render(request.messages),
                    request.stream,
                    request.streamOptions?.includeUsage == true,
                    maxTokens,
                )
            }
        }
    }

    private fun work(request: CompletionRequest): Either<Refusal.NotRun, CompletionWork> {
        if (request.prompt.size != 1) return bad("Send one prompt per request.").left()
        return checked(request.n, request.maxTokens) {
            CompletionWork(
                AnswerForm.TEXT,
                request.model,
                request.prompt.single(),
                request.stream,
                request.streamOptions?.includeUsage == true,
                request.maxTokens,
            )
        }
    }

    private fun checked(n: Int?, maxTokens: Int?, build: () -> CompletionWork): Either<Refusal.NotRun, CompletionWork> =
        when {
            n != null && n != 1 -> bad("`n` must be 1; send one request per answer.").left()
            maxTokens != null && maxTokens < 1 -> bad("The token limit must be at least 1.").left()
            else -> build().right()
        }

    private fun render(messages: List<ChatMessage>): String =
        messages.joinToString("\n", postfix = "\nassistant:") { message ->
            "${message.role}: ${message.content.joinToString("") { it.text.orEmpty() }}"
        }

    private fun <T> decode(form: DeserializationStrategy<T>, body: String): Either<Refusal.NotRun, T> = try {
        JSON.decodeFromString(form, body).right()
    } catch (e: SerializationException) {
        bad("The body isn't a valid request: ${e.message?.lineSequence()?.first()}").left()
    } catch (e: IllegalArgumentException) {
        bad("The body isn't a valid request: ${e.message?.lineSequence()?.first()}").left()
    }

    private fun bad(message: String) = Refusal.NotRun(NotRunReason.BAD_REQUEST, message)
}
