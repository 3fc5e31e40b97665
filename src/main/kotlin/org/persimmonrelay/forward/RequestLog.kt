package org.persimmonrelay.forward

import org.persimmonrelay.backend.Placement
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.http.RequestRejection
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.timeline.EventCode
import org.persimmonrelay.timeline.EventField
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/** Writes one line for each request that ends and counts it. Bounded: beyond [linesPerSecond], only counters move. */
public class RequestLog(
    private val events: EventSink,
    private val metrics: ForwardMetrics,
    private val linesPerSecond: Int = 200,
) {
    private var second = Long.MIN_VALUE
    private var lines = 0
    private var dropped = 0

    internal fun refusedAtGate(exchange: CallerExchange, refused: GateRefusal, now: Moment) {
        metrics.ended(refused.refusal.reason.name.lowercase(), now - exchange.arrivedAt)
        line(
            now,
            ForwardEvent.REQUEST_REFUSED,
            "id" with refused.id,
            "reason" with refused.refusal.reason,
            "path" with exchange.head.path.take(LONGEST_PATH),
        )
    }

    internal fun refused(call: ForwardedCall, trace: CallTrace, refusal: Refusal.NotRun, now: Moment) {
        metrics.ended(refusal.reason.name.lowercase(), now - call.exchange.arrivedAt)
        val fields = fields(call, trace, now) + listOf(
            "reason" with refusal.reason,
            "retryAfterMillis" with refusal.retryAfter?.inWholeMilliseconds,
        )
        line(now, ForwardEvent.REQUEST_REFUSED, *fields.toTypedArray())
    }

    internal fun answered(call: ForwardedCall, trace: CallTrace, status: Int, streamEvents: Int, now: Moment) {
        metrics.ended("answered", now - call.exchange.arrivedAt)
        val first = trace.beganAt?.let { (it - call.exchange.arrivedAt).inWholeMilliseconds }
        val fields = fields(call, trace, now) +
            listOf("status" with status, "events" with streamEvents, "firstMillis" with first)
        line(now, ForwardEvent.REQUEST_ANSWERED, *fields.toTypedArray())
    }

    internal fun failed(call: ForwardedCall, trace: CallTrace, outcome: String, now: Moment) {
        metrics.ended("failed", now - call.exchange.arrivedAt)
        val fields = fields(call, trace, now) + listOf("outcome" with outcome)
        line(now, ForwardEvent.REQUEST_FAILED, *fields.toTypedArray())
    }

    internal fun callerLeft(call: ForwardedCall, trace: CallTrace, now: Moment) {
        metrics.ended("caller_left", now - call.exchange.arrivedAt)
        line(now, ForwardEvent.CALLER_LEFT, *fields(call, trace, now).toTypedArray())
    }

    internal fun firstPart(call: ForwardedCall, now: Moment) = metrics.firstPart(now - call.exchange.arrivedAt)

    internal fun attemptEnded(call: ForwardedCall, chosen: Placement.Chosen, end: AttemptEnd) {
        metrics.attempt(end)
        if (end is AttemptEnd.Delivered) return
        events.record(
            ForwardEvent.ATTEMPT_ENDED,
            "id" with call.attributes.id,
            "server" with chosen.server.instance.id,
            "expectedMillis" with chosen.expected.inWholeMilliseconds,
            "end" with end.label,
        )
    }

    /** A request could not be read. */
    public fun unreadable(reject: RequestRejection): Unit =
        events.record(ForwardEvent.REQUEST_UNREADABLE, "reject" with reject)

    private fun fields(call: ForwardedCall, trace: CallTrace, now: Moment): List<EventField> = listOf(
        "id" with call.attributes.id,
        "route" with call.route.name,
        "service" with call.work.service,
        "workspace" with call.workspace?.id,
        "config" with call.configVersion,
        "prompt" with call.work.promptTokens,
        "attempts" with trace,
        "leftMillis" with (call.deadline - now).inWholeMilliseconds,
        "tookMillis" with (now - call.exchange.arrivedAt).inWholeMilliseconds,
    )

    private fun line(now: Moment, code: EventCode, vararg fields: EventField) {
        val present = now.nanos / NANOS_PER_SECOND
        if (present != second) startSecond(present)
        if (lines++ < linesPerSecond) events.record(code, *fields) else dropped++
    }

    private fun startSecond(present: Long) {
        if (dropped > 0) events.record(ForwardEvent.REQUEST_LINES_DROPPED, "dropped" with dropped)
        second = present
        lines = 0
        dropped = 0
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val LONGEST_PATH = 80
    }
}
