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

/** Writes one answer to its caller, streamed or whole. */
internal class AnswerWriter(
    private val call: ApplicationCall,
    private val work: CompletionWork,
    private val id: RequestId,
    private val clock: Clock,
    private val metrics: EntryMetrics,
    private val tally: AnswerTally,
) {
    private val arrived = clock.now()
    private val created = clock.wallMillis() / MILLIS_PER_SECOND
    private val answerId = work.form.idPrefix + id

    /** Returns the refusal when nothing of the answer was written yet. */
    suspend fun write(events: ReceiveChannel<AnswerEvent>): Either<Refusal, Unit> =
        if (work.stream) stream(events) else whole(events)

    private suspend fun whole(events: ReceiveChannel<AnswerEvent>): Either<Refusal, Unit> {
        val text = StringBuilder()
        while (tally.finish == null) {
            when (val event = events.receive()) {
                is AnswerEvent.Failed -> return event.refusal.left()
                is AnswerEvent.Pieces -> {
                    take(event)
                    event.pieces.forEach { text.append(it.text) }
                }
            }
        }
        call.response.header(REQUEST_HEADER, id.value)
        call.respondText(encode(text.toString()), ContentType.Application.Json)
        metrics.completed()
        return Unit.right()
    }

    private suspend fun stream(events: ReceiveChannel<AnswerEvent>): Either<Refusal, Unit> {
        val first =
            when (val event = events.receive()) {
                is AnswerEvent.Failed -> return event.refusal.left()
                is AnswerEvent.Pieces -> event
            }
        call.response.header(HttpHeaders.CacheControl, "no-cache")
        call.response.header(REQUEST_HEADER, id.value)
        call.respondBytesWriter(ContentType.Text.EventStream) { send(first, events) }
        return Unit.right()
    }

    private suspend fun ByteWriteChannel.send(first: AnswerEvent, events: ReceiveChannel<AnswerEvent>) {
        val template = ChunkTemplate(work.form, answerId, created, work.model)
        val out = StringBuilder(template.opening())
        var event = first
        while (true) {
            var last = append(event, template, out)
            while (!last && out.length < FLUSH_CHARS) {
                last = append(events.tryReceive().getOrNull() ?: break, template, out)
            }
            writeStringUtf8(out.toString())
            flush()
            if (last) return
            out.setLength(0)
            event = events.receive()
        }
    }

    /** Appends what the caller sees of [event]; true when it is the last. */
    private fun append(event: AnswerEvent, template: ChunkTemplate, out: StringBuilder): Boolean = when (event) {
        is AnswerEvent.Failed -> {
            metrics.refused(event.refusal)
            out.append(ChunkTemplate.wrap(ErrorAnswers.encode(event.refusal)))
            true
        }
        is AnswerEvent.Pieces -> {
            take(event)
            for (piece in event.pieces) if (piece.text.isNotEmpty()) template.text(out, piece.text)
            if (tally.finish != null) close(template, out)
            tally.finish != null
        }
    }

    private fun close(template: ChunkTemplate, out: StringBuilder) {
        out.append(template.closing(tally.finishReason()))
        if (work.includeUsage) out.append(template.usage(tally.usage()))
        out.append(ChunkTemplate.DONE)
        metrics.completed()
    }

    private fun take(event: AnswerEvent.Pieces) {
        if (tally.outputTokens == 0) metrics.firstToken(clock.now() - arrived)
        tally.add(event.pieces)
    }

    private fun encode(text: String): String = when (work.form) {
        AnswerForm.CHAT -> {
            val choice = ChatChoice(0, AnswerMessage("assistant", text), tally.finishReason())
            val kind = work.form.wholeKind
            JSON.encodeToString(ChatCompletion(answerId, kind, created, work.model, listOf(choice), tally.usage()))
        }
        AnswerForm.TEXT -> {
            val choice = TextChoice(0, text, finishReason = tally.finishReason())
            val kind = work.form.wholeKind
            JSON.encodeToString(TextCompletion(answerId, kind, created, work.model, listOf(choice), tally.usage()))
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val FLUSH_CHARS = 16 * 1024
        const val REQUEST_HEADER = "X-Request-Id"
        val JSON = Json
    }
}
