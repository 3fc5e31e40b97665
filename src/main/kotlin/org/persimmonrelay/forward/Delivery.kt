package org.persimmonrelay.forward

import org.persimmonrelay.backend.InFlightRequest
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.CallerFraming
import org.persimmonrelay.http.CallerResponse
import org.persimmonrelay.http.Framing
import org.persimmonrelay.http.ResponsePart
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

    private fun judge(head: ResponsePart.Head, body: ByteArray): AttemptEnd {
        val closes = head.framing == Framing.UNTIL_CLOSE
        val answer = CallerResponse(head.status, tools.dialect.callerHeaders(head.headers), body, closes)
        if (head.status < FIRST_SERVER_ERROR && head.status !in PROMISES) {
            ticket.succeeded()
            exchange.respond(answer)
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
                is ResponsePart.Data -> exchange.write(part.bytes)
                is ResponsePart.End -> return delivered(reader.head.status)
                else -> return failed("torn inside a long answer")
            }
        }
    }

    private suspend fun stream(reader: AnswerReader, kind: RouteKind.Streaming): AttemptEnd {
        val scanner = EventScanner()
        while (true) {
            when (val part = reader.next(pausePatience(kind))) {
                is ResponsePart.Data -> scanner.feed(part.bytes).forEach { pass(it, reader.head) }
                is ResponsePart.End -> return ended(reader, scanner)
                is ResponsePart.Broken -> return failed("stream broken after ${progress.events}: ${part.reason}")
                is ResponsePart.Head -> return failed("a second answer inside a stream")
                null -> return failed("stream silent after ${progress.events}")
            }
        }
    }

    private fun pausePatience(kind: RouteKind.Streaming): Duration? = when {
        patience == null -> null
        progress.events == 0 -> patience
        else -> kind.pauseTarget * tools.settings.patienceByPauseTarget
    }

    private fun pass(event: StreamEvent, head: ResponsePart.Head) {
        ticket.firstResponse(tools.clock.now() - sentAt, tools.clock.now())
        if (!progress.isNext(event)) return
        if (!exchange.isResponseStarted) {
            began()
            begin(head)
        }
        progress.passed(event)
        exchange.write(event.bytes)
    }

    private fun ended(reader: AnswerReader, scanner: EventScanner): AttemptEnd {
        if (scanner.isInsideEvent) return failed("stream ended inside an event")
        if (!exchange.isResponseStarted) begin(reader.head)
        return delivered(reader.head.status)
    }

    private fun begin(head: ResponsePart.Head) {
        val framing = if (head.framing == Framing.UNTIL_CLOSE) CallerFraming.UNTIL_CLOSE else CallerFraming.CHUNKED
        exchange.startResponse(head.status, tools.dialect.callerHeaders(head.headers), framing)
    }

    private fun delivered(status: Int): AttemptEnd {
        ticket.succeeded()
        exchange.endResponse()
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
