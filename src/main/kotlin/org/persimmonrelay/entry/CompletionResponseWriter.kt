package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.serialization.json.Json
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.outcome.Refusal

/** Writes the response to one completion request, streamed or as a single body. */
internal class CompletionResponseWriter(
    private val call: ApplicationCall,
    private val params: CompletionParams,
    private val id: RequestId,
    private val clock: Clock,
    private val metrics: EntryMetrics,
    private val counter: UsageCounter,
) {
    private val arrivedAt = clock.now()
    private val created = clock.wallMillis() / MILLIS_PER_SECOND
    private val completionId = params.kind.idPrefix + id

    /** Returns the refusal if the completion failed before anything was written. */
    suspend fun write(events: ReceiveChannel<CompletionEvent>): Either<Refusal, Unit> =
        if (params.stream) writeStream(events) else writeComplete(events)

    private suspend fun writeComplete(events: ReceiveChannel<CompletionEvent>): Either<Refusal, Unit> {
        val text = StringBuilder()
        while (counter.finish == null) {
            when (val event = events.receive()) {
                is CompletionEvent.Failed -> return event.refusal.left()
                is CompletionEvent.Output -> {
                    count(event)
                    event.chunks.forEach { text.append(it.text) }
                }
            }
        }
        call.response.header(REQUEST_ID_HEADER, id.value)
        call.respondText(encodeCompletion(text.toString()), ContentType.Application.Json)
        metrics.completed()
        return Unit.right()
    }

    private suspend fun writeStream(events: ReceiveChannel<CompletionEvent>): Either<Refusal, Unit> {
        val first =
            when (val event = events.receive()) {
                is CompletionEvent.Failed -> return event.refusal.left()
                is CompletionEvent.Output -> event
            }
        call.response.header(HttpHeaders.CacheControl, "no-cache")
        call.response.header(REQUEST_ID_HEADER, id.value)
        call.respondBytesWriter(ContentType.Text.EventStream) { writeEvents(first, events) }
        return Unit.right()
    }

    private suspend fun ByteWriteChannel.writeEvents(first: CompletionEvent, events: ReceiveChannel<CompletionEvent>) {
        val template = ChunkTemplate(params.kind, completionId, created, params.model)
        val out = StringBuilder(template.firstEvent())
        var event = first
        while (true) {
            var last = appendEvent(event, template, out)
            while (!last && out.length < FLUSH_CHARS) {
                last = appendEvent(events.tryReceive().getOrNull() ?: break, template, out)
            }
            writeStringUtf8(out.toString())
            flush()
            if (last) return
            out.setLength(0)
            event = events.receive()
        }
    }

    /** Appends the server-sent events for [event]; true if it is the last. */
    private fun appendEvent(event: CompletionEvent, template: ChunkTemplate, out: StringBuilder): Boolean =
        when (event) {
            is CompletionEvent.Failed -> {
                metrics.refused(event.refusal)
                out.append(ChunkTemplate.sseEvent(ErrorResponses.encode(event.refusal)))
                true
            }
            is CompletionEvent.Output -> {
                count(event)
                for (chunk in event.chunks) if (chunk.text.isNotEmpty()) template.appendText(out, chunk.text)
                if (counter.finish != null) appendEnd(template, out)
                counter.finish != null
            }
        }

    private fun appendEnd(template: ChunkTemplate, out: StringBuilder) {
        out.append(template.finishEvent(counter.finishReason()))
        if (params.includeUsage) out.append(template.usageEvent(counter.usage()))
        out.append(ChunkTemplate.DONE)
        metrics.completed()
    }

    private fun count(event: CompletionEvent.Output) {
        if (counter.outputTokens == 0) metrics.firstToken(clock.now() - arrivedAt)
        counter.add(event.chunks)
    }

    private fun encodeCompletion(text: String): String = when (params.kind) {
        CompletionKind.CHAT -> {
            val choice = ChatChoice(0, AssistantMessage("assistant", text), counter.finishReason())
            val objectName = params.kind.objectName
            JSON.encodeToString(
                ChatCompletion(completionId, objectName, created, params.model, listOf(choice), counter.usage()),
            )
        }
        CompletionKind.TEXT -> {
            val choice = TextChoice(0, text, finishReason = counter.finishReason())
            val objectName = params.kind.objectName
            JSON.encodeToString(
                TextCompletion(completionId, objectName, created, params.model, listOf(choice), counter.usage()),
            )
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val FLUSH_CHARS = 16 * 1024
        const val REQUEST_ID_HEADER = "X-Request-Id"
        val JSON = Json
    }
}
