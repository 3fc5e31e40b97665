package org.persimmonrelay.forward

import io.netty.handler.codec.http.HttpHeaderNames
import org.persimmonrelay.backend.InFlightRequest
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.CallerResponse
import org.persimmonrelay.http.Framing
import org.persimmonrelay.http.ResponsePart
import org.persimmonrelay.route.RouteKind

/**
 * Forwards a server's response to the caller. [deadline] tells when the next part of a buffered body, or the next event
 * of a stream, is due.
 */
internal class ResponseDelivery(
    private val dependencies: AttemptDependencies,
    private val request: ForwardedRequest,
    private val progress: StreamProgress,
    private val inFlight: InFlightRequest,
    private val sentAt: Moment,
    private val deadline: PartDeadline,
    private val listener: ResponseListener,
) {
    private val exchange = request.exchange
    private val clock = dependencies.clock

    suspend fun deliver(reader: ResponseReader): AttemptOutcome {
        val status = reader.head.status
        val kind = request.route.kind
        return when {
            progress.forwardedEvents > 0 && !isEventStream(reader.head) ->
                failed("status $status and no events when a stream was resumed")
            status in SUCCESSES && kind is RouteKind.Streaming -> stream(reader, kind)
            else -> deliverBuffered(reader)
        }
    }

    private fun isEventStream(head: ResponsePart.Head) = head.status in SUCCESSES &&
        head.headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith(EVENT_STREAM, ignoreCase = true)

    private suspend fun deliverBuffered(reader: ResponseReader): AttemptOutcome {
        listener.responseStarted()
        inFlight.firstResponse(clock.now() - sentAt, clock.now())
        deadline.expectNext(clock.now())
        return when (val body = reader.readBody(dependencies.settings.maxBufferedBytes) { expectData() }) {
            is BodyReadResult.Complete -> deliverComplete(reader.head, body.bytes)
            is BodyReadResult.Oversized -> deliverOversized(reader, body.start)
            is BodyReadResult.Incomplete -> failed("response incomplete: ${body.reason}", body.connectionEnded)
        }
    }

    private fun expectData() = deadline.expectNext(clock.now())

    private fun deliverComplete(head: ResponsePart.Head, body: ByteArray): AttemptOutcome {
        val closesConnection = head.framing == Framing.UNTIL_CLOSE
        val response =
            CallerResponse(head.status, dependencies.headerCodec.callerHeaders(head.headers), body, closesConnection)
        if (head.status < FIRST_SERVER_ERROR && head.status !in NOT_RUN_STATUSES) {
            inFlight.succeeded(clock.now())
            listener.partArrived()
            exchange.respond(response)
            return AttemptOutcome.Delivered(head.status)
        }
        inFlight.failed(clock.now())
        return AttemptOutcome.Failed("status ${head.status}", response.takeIf { head.status !in NOT_RUN_STATUSES })
    }

    /** Forwards a response that is too long to buffer while it arrives; it can't be retried after that. */
    private suspend fun deliverOversized(reader: ResponseReader, start: ByteArray): AttemptOutcome {
        if (reader.head.status in NOT_RUN_STATUSES) return failed("status ${reader.head.status}")
        listener.partArrived()
        startResponse(reader.head)
        exchange.write(start)
        deadline.clear()
        while (true) {
            when (val part = reader.next()) {
                is ResponsePart.Data -> {
                    exchange.awaitWritable()
                    exchange.write(part.bytes)
                }
                is ResponsePart.End -> return delivered(reader.head.status)
                else -> return failed("response incomplete after a part was sent")
            }
        }
    }

    private suspend fun stream(reader: ResponseReader, kind: RouteKind.Streaming): AttemptOutcome {
        val splitter = EventStreamSplitter(dependencies.settings.maxEventBytes)
        deadline.expectNext(clock.now())
        while (true) {
            awaitCaller()
            val part = reader.next()
            if (part !is ResponsePart.Data) return streamEnded(part, reader, splitter)
            val events = splitter.feed(part.bytes)
            if (splitter.isOversized) return failed("event over ${dependencies.settings.maxEventBytes} bytes")
            for (event in events) {
                if (progress.isForeign(event)) return failed("event without an id inside a stream")
                forward(event, reader.head)
            }
            // Bytes alone are no progress: a stalled server may send some now and then.
            if (events.isNotEmpty()) deadline.expectNextWithin(eventTimeout(kind), clock.now())
        }
    }

    private suspend fun awaitCaller() {
        deadline.pause(clock.now())
        exchange.awaitWritable()
        deadline.resume(clock.now())
    }

    private fun eventTimeout(kind: RouteKind.Streaming) = kind.pauseTarget * dependencies.settings.pauseTargetFactor

    private fun streamEnded(
        part: ResponsePart,
        reader: ResponseReader,
        splitter: EventStreamSplitter,
    ): AttemptOutcome = when (part) {
        is ResponsePart.End -> streamCompleted(reader, splitter)
        is ResponsePart.Broken -> failed(
            "stream broken after ${progress.forwardedEvents} events: ${part.reason}",
            serverMayHaveEnded = true,
        )
        is ResponsePart.Head, is ResponsePart.Data -> failed("second response inside a stream")
    }

    private fun forward(event: StreamEvent, head: ResponsePart.Head) {
        inFlight.firstResponse(clock.now() - sentAt, clock.now())
        if (!progress.isNext(event)) return
        listener.partArrived()
        if (!exchange.isResponseStarted) {
            listener.responseStarted()
            startResponse(head)
        }
        progress.eventForwarded(event)
        exchange.write(event.bytes)
    }

    private fun streamCompleted(reader: ResponseReader, splitter: EventStreamSplitter): AttemptOutcome {
        if (splitter.hasPartialEvent) return failed("stream ended inside an event", endedByClose(reader))
        // Nothing tells a stream that ends so from one whose server ended before it wrote.
        if (endedByClose(reader) && !splitter.hasCompleteEvent) {
            return failed("stream ended before its first event", serverMayHaveEnded = true)
        }
        listener.partArrived()
        if (!exchange.isResponseStarted) startResponse(reader.head)
        return delivered(reader.head.status)
    }

    private fun startResponse(head: ResponsePart.Head) {
        exchange.startResponse(head.status, dependencies.headerCodec.callerHeaders(head.headers))
    }

    private fun delivered(status: Int): AttemptOutcome {
        inFlight.succeeded(clock.now())
        exchange.endResponse()
        return AttemptOutcome.Delivered(status)
    }

    private fun endedByClose(reader: ResponseReader) = reader.head.framing == Framing.UNTIL_CLOSE

    private fun failed(label: String, serverMayHaveEnded: Boolean = false): AttemptOutcome {
        inFlight.failed(clock.now())
        return AttemptOutcome.Failed(label, serverMayHaveEnded = serverMayHaveEnded)
    }

    private companion object {
        val SUCCESSES = 200..299
        const val FIRST_SERVER_ERROR = 500
        const val EVENT_STREAM = "text/event-stream"

        /**
         * Statuses by which callers understand that their request has not run. Without the server's explicit header
         * it may have run, so these are not forwarded.
         */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
