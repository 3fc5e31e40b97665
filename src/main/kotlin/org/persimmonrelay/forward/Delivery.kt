package org.persimmonrelay.forward

import org.persimmonrelay.backend.InFlightRequest
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.AnswerPart
import org.persimmonrelay.http.CallerAnswer
import org.persimmonrelay.http.CallerFraming
import org.persimmonrelay.http.Framing
import org.persimmonrelay.route.RouteKind
import kotlin.time.Duration

/** Passes a server's answer on to the caller. */
internal class Delivery(
    private val tools: AttemptTools,
    private val call: ForwardedCall,
    private val progress: StreamProgress,
    private val ticket: InFlightRequest,
    private val sentAt: Moment,
    private val patience: Duration?,
    private val began: () -> Unit,
) {
    private val exchange = call.exchange

    suspend fun deliver(reader: AnswerReader): AttemptEnd {
        val status = reader.head.status
        val kind = call.route.kind
        return when {
            status in SUCCESSES && kind is RouteKind.Streaming -> stream(reader, kind)
            progress.events > 0 -> failed("status $status inside a stream")
            else -> whole(reader)
        }
    }

    private suspend fun whole(reader: AnswerReader): AttemptEnd {
        began()
        ticket.firstResponse(tools.clock.now() - sentAt, tools.clock.now())
        return when (val body = reader.whole(tools.settings.bufferedBytes, patience)) {
            is ReadBody.Whole -> judge(reader.head, body.bytes)
            is ReadBody.Long -> passLong(reader, body.start)
            is ReadBody.Torn -> failed("torn: ${body.reason}")
        }
    }

    private fun judge(head: AnswerPart.Head, body: ByteArray): AttemptEnd {
        val closes = head.framing == Framing.UNTIL_CLOSE
        val answer = CallerAnswer(head.status, tools.dialect.toCaller(head.headers), body, closes)
        if (head.status < FIRST_SERVER_ERROR && head.status !in PROMISES) {
            ticket.succeeded()
            exchange.answer(answer)
            return AttemptEnd.Delivered(head.status)
        }
        ticket.failed(tools.clock.now())
        return AttemptEnd.Failed("status ${head.status}", answer.takeIf { head.status !in PROMISES })
    }

    private suspend fun passLong(reader: AnswerReader, start: ByteArray): AttemptEnd {
        begin(reader.head)
        exchange.write(start)
        while (true) {
            when (val part = reader.next(null)) {
                is AnswerPart.Data -> exchange.write(part.bytes)
                is AnswerPart.End -> return delivered(reader.head.status)
                else -> return failed("torn inside a long answer")
            }
        }
    }

    private suspend fun stream(reader: AnswerReader, kind: RouteKind.Streaming): AttemptEnd {
        val scanner = EventScanner()
        while (true) {
            when (val part = reader.next(pausePatience(kind))) {
                is AnswerPart.Data -> scanner.feed(part.bytes).forEach { pass(it, reader.head) }
                is AnswerPart.End -> return ended(reader, scanner)
                is AnswerPart.Broken -> return failed("stream broken after ${progress.events}: ${part.reason}")
                is AnswerPart.Head -> return failed("a second answer inside a stream")
                null -> return failed("stream silent after ${progress.events}")
            }
        }
    }

    private fun pausePatience(kind: RouteKind.Streaming): Duration? = when {
        patience == null -> null
        progress.events == 0 -> patience
        else -> kind.pauseTarget * tools.settings.patienceByPauseTarget
    }

    private fun pass(event: StreamEvent, head: AnswerPart.Head) {
        ticket.firstResponse(tools.clock.now() - sentAt, tools.clock.now())
        if (!progress.isNext(event)) return
        if (!exchange.hasBegun) {
            began()
            begin(head)
        }
        progress.passed(event)
        exchange.write(event.bytes)
    }

    private fun ended(reader: AnswerReader, scanner: EventScanner): AttemptEnd {
        if (scanner.isInsideEvent) return failed("stream ended inside an event")
        if (!exchange.hasBegun) begin(reader.head)
        return delivered(reader.head.status)
    }

    private fun begin(head: AnswerPart.Head) {
        val framing = if (head.framing == Framing.UNTIL_CLOSE) CallerFraming.UNTIL_CLOSE else CallerFraming.CHUNKED
        exchange.begin(head.status, tools.dialect.toCaller(head.headers), framing)
    }

    private fun delivered(status: Int): AttemptEnd {
        ticket.succeeded()
        exchange.end()
        return AttemptEnd.Delivered(status)
    }

    private fun failed(label: String): AttemptEnd {
        ticket.failed(tools.clock.now())
        return AttemptEnd.Failed(label)
    }

    private companion object {
        val SUCCESSES = 200..299
        const val FIRST_SERVER_ERROR = 500

        /** Statuses that promise a caller that its request has not run, which only an explicit sign can. */
        val PROMISES = setOf(408, 421, 429, 503)
    }
}
