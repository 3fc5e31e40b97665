package org.persimmonrelay.forward

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.http.RequestRejection
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.timeline.EventCode
import org.persimmonrelay.timeline.EventField
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * Counts each request that ends and writes a log line for it. Requests beyond [maxLinesPerSecond] are only counted.
 */
public class RequestLog(
    private val events: EventSink,
    private val metrics: ForwardMetrics,
    private val maxLinesPerSecond: Int = 200,
) {
    private var second = Long.MIN_VALUE
    private var lines = 0
    private var dropped = 0

    internal fun refusedAtAdmission(exchange: CallerExchange, refused: Denied, now: Moment) {
        metrics.ended(refused.refusal.reason.name.lowercase(), now - exchange.arrivedAt)
        line(
            now,
            ForwardEvent.REQUEST_REFUSED,
            "id" with refused.id,
            "reason" with refused.refusal.reason,
            "path" with exchange.head.path.take(MAX_PATH_LENGTH),
        )
    }

    internal fun refused(request: ForwardedRequest, trace: AttemptTrace, refusal: Refusal.NotRun, now: Moment) {
        metrics.ended(refusal.reason.name.lowercase(), now - request.exchange.arrivedAt)
        val fields = fields(request, trace, now) + listOf(
            "reason" with refusal.reason,
            "retryAfterMillis" with refusal.retryAfter?.inWholeMilliseconds,
        )
        line(now, ForwardEvent.REQUEST_REFUSED, *fields.toTypedArray())
    }

    internal fun completed(
        request: ForwardedRequest,
        trace: AttemptTrace,
        status: Int,
        streamEvents: Int,
        now: Moment,
    ) {
        metrics.ended("answered", now - request.exchange.arrivedAt)
        val first = trace.responseStartedAt?.let { (it - request.exchange.arrivedAt).inWholeMilliseconds }
        val fields = fields(request, trace, now) +
            listOf("status" with status, "events" with streamEvents, "firstMillis" with first)
        line(now, ForwardEvent.REQUEST_ANSWERED, *fields.toTypedArray())
    }

    internal fun failed(request: ForwardedRequest, trace: AttemptTrace, outcome: String, now: Moment) {
        metrics.ended("failed", now - request.exchange.arrivedAt)
        val fields = fields(request, trace, now) + listOf("outcome" with outcome)
        line(now, ForwardEvent.REQUEST_FAILED, *fields.toTypedArray())
    }

    internal fun callerDisconnected(request: ForwardedRequest, trace: AttemptTrace, now: Moment) {
        metrics.ended("caller_left", now - request.exchange.arrivedAt)
        line(now, ForwardEvent.CALLER_LEFT, *fields(request, trace, now).toTypedArray())
    }

    internal fun firstPart(request: ForwardedRequest, now: Moment) = metrics.firstPart(now - request.exchange.arrivedAt)

    internal fun attemptEnded(request: ForwardedRequest, call: ServerCall, outcome: AttemptOutcome, now: Moment) {
        metrics.attempt(outcome, call.isOverdue)
        if (outcome is AttemptOutcome.Delivered || outcome is AttemptOutcome.Prefilled) return
        val parts = request.profile.shared.take(MAX_LOGGED_PARTS).joinToString(",") { it.id.take(MAX_ID_LENGTH) }
        attemptLine(ForwardEvent.ATTEMPT_ENDED, request, call, now, "parts" with parts, "end" with outcome.label)
    }

    internal fun attemptOverdue(request: ForwardedRequest, call: ServerCall, now: Moment) =
        attemptLine(ForwardEvent.ATTEMPT_OVERDUE, request, call, now)

    internal fun attemptReplaced(request: ForwardedRequest, call: ServerCall, now: Moment) {
        metrics.attemptReplaced(call.isOverdue)
        attemptLine(ForwardEvent.ATTEMPT_REPLACED, request, call, now, "overdue" with call.isOverdue)
    }

    private fun attemptLine(
        code: EventCode,
        request: ForwardedRequest,
        call: ServerCall,
        now: Moment,
        vararg more: EventField,
    ) = line(
        now,
        code,
        "id" with request.attributes.id,
        "workspace" with request.workspace?.id,
        "content" with request.profile.contentHash,
        "server" with call.server.instance.id,
        "stage" with call.server.stage,
        "expectedMillis" with call.chosen.expected.inWholeMilliseconds,
        "sentMillis" with (now - call.inFlight.sentAt).inWholeMilliseconds,
        *more,
    )

    /** Records a request that was rejected before it was handled. */
    public fun unreadable(rejection: RequestRejection): Unit =
        events.record(ForwardEvent.REQUEST_UNREADABLE, "reject" with rejection)

    private fun fields(request: ForwardedRequest, trace: AttemptTrace, now: Moment): List<EventField> = listOf(
        "id" with request.attributes.id,
        "route" with request.route.name,
        "service" with request.profile.service,
        "workspace" with request.workspace?.id,
        "content" with request.profile.contentHash,
        "config" with request.configVersion,
        "prompt" with request.profile.promptTokens,
        "attempts" with trace,
        "leftMillis" with (request.deadline - now).inWholeMilliseconds,
        "tookMillis" with (now - request.exchange.arrivedAt).inWholeMilliseconds,
    )

    private fun line(now: Moment, code: EventCode, vararg fields: EventField) {
        val present = now.nanos / NANOS_PER_SECOND
        if (present != second) startSecond(present)
        if (lines++ < maxLinesPerSecond) events.record(code, *fields) else dropped++
    }

    private fun startSecond(present: Long) {
        if (dropped > 0) events.record(ForwardEvent.REQUEST_LINES_DROPPED, "dropped" with dropped)
        second = present
        lines = 0
        dropped = 0
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val MAX_PATH_LENGTH = 80
        const val MAX_LOGGED_PARTS = 8
        const val MAX_ID_LENGTH = 40
    }
}
