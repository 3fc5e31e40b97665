package org.persimmonrelay.forward

import org.persimmonrelay.backend.Placement
import org.persimmonrelay.backend.PlacementQuery
import org.persimmonrelay.backend.RefusalReason
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.route.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The attempts of one request, up to its final answer. Confined to the traffic thread. */
internal class CallRun(
    private val parts: ForwardParts,
    private val tools: AttemptTools,
    private val call: ForwardedCall,
) {
    val trace = CallTrace()
    private val clock = parts.clock
    private val progress = StreamProgress(call.attributes.lastEventId)
    private val excluded = HashSet<ServerInstance>()
    private var sends = 0
    private var runs = 0
    private var mayHaveRun = false
    private var maySplit = true
    private var lastFailure: AttemptEnd.Failed? = null

    suspend fun untilAnswered() {
        while (true) {
            val now = clock.now()
            val placement = place(now)
            if (placement is Placement.Refused) return giveUp(placement)
            if (sends > 0 && !parts.allowance.tryAcquire(call.work.service, now)) return giveUp(null)
            val end = if (placement is Placement.Split) split(placement) else run(placement as Placement.Chosen)
            if (end is AttemptEnd.Delivered) return delivered(end)
            if (!mayGoOn(end)) return giveUp(null)
        }
    }

    private fun servers() = parts.directory.view.of(call.work.service)

    private fun query(now: Moment): PlacementQuery {
        val latest = (call.deadline - now) * LATEST_START_SHARE
        val pauseTarget = (call.route.kind as? RouteKind.Streaming)?.pauseTarget
        return PlacementQuery(call.work, latest, excluded, now, maySplit, pauseTarget)
    }

    private fun place(now: Moment): Placement = parts.chooser.choose(query(now), servers(), call.engine)

    private suspend fun run(chosen: Placement.Chosen) = attempt(chosen, ServerTask.Run)

    /** Has the prompt read at one server and the tokens made at another. Tried once, then servers do both. */
    private suspend fun split(split: Placement.Split): AttemptEnd {
        maySplit = false
        val read = attempt(split.prefill, ServerTask.Prefill)
        if (read !is AttemptEnd.PromptRead) return AttemptEnd.NotRun("not-read", arrived = true)
        val readIn = split.prefill.server
        var taken = false
        try {
            val maker = parts.chooser.chooseDecode(query(clock.now()), servers(), call.engine, readIn.domain)
            if (maker !is Placement.Chosen) return AttemptEnd.NotRun("no-maker", arrived = false)
            val end = attempt(maker, ServerTask.Decode(read.handle))
            taken = end is AttemptEnd.Delivered
            return end
        } finally {
            if (!taken && progress.events == 0) parts.freeHandle(readIn, read.handle)
        }
    }

    private suspend fun attempt(chosen: Placement.Chosen, work: ServerTask): AttemptEnd {
        val ticket = parts.chooser.sent(chosen, call.work, call.engine, clock.now())
        val attempt = Attempt(tools, call, chosen, progress, patience(chosen, work), work, ::began)
        trace.attempt(chosen, clock.now())
        try {
            val end = attempt.run(ticket)
            trace.ended(end, clock.now())
            note(chosen, work, end)
            return end
        } finally {
            if (attempt.wasSent && trace.lastMayHaveRun && work !is ServerTask.Prefill) mayHaveRun = true
        }
    }

    private fun note(chosen: Placement.Chosen, work: ServerTask, end: AttemptEnd) {
        parts.log.attemptEnded(call, chosen, end)
        if (end is AttemptEnd.PromptRead) return
        excluded += chosen.server.instance
        when (end) {
            is AttemptEnd.Delivered -> runs++
            is AttemptEnd.Failed -> {
                sends++
                if (work is ServerTask.Prefill) return
                runs++
                lastFailure = end
            }
            is AttemptEnd.NotRun -> if (end.arrived) sends++
            is AttemptEnd.PromptRead -> Unit
        }
    }

    private fun mayGoOn(end: AttemptEnd): Boolean = when (end) {
        is AttemptEnd.Delivered, is AttemptEnd.PromptRead -> false
        is AttemptEnd.NotRun -> sends < MOST_SENDS && excluded.size < MOST_SERVERS
        is AttemptEnd.Failed ->
            call.route.isRetryable && runs < call.route.maxAttempts && !isStuckAnswer()
    }

    /** A whole answer that has begun to go out can't be taken back; a stream goes on behind its last event. */
    private fun isStuckAnswer() = call.exchange.isResponseStarted && call.route.kind !is RouteKind.Streaming

    private fun patience(chosen: Placement.Chosen, work: ServerTask): Duration? {
        val more = call.route.isRetryable && runs + 1 < call.route.maxAttempts
        if (!more && work !is ServerTask.Prefill) return null
        val settings = tools.settings
        val usual = maxOf(
            settings.leastPatience,
            call.route.latencyTarget * settings.patienceByTarget,
            chosen.expected * 2 + settings.leastPatience,
        )
        return minOf(usual, (call.deadline - clock.now()) * settings.patienceShare)
    }

    private fun began() {
        val now = clock.now()
        if (trace.beganAt != null) return
        trace.beganAt = now
        parts.log.firstPart(call, now)
        call.workspace?.let {
            parts.usage.record(it.id, call.work.promptTokens.toLong(), call.work.outputTokens.toLong())
        }
    }

    private fun delivered(end: AttemptEnd.Delivered) =
        parts.log.answered(call, trace, end.status, progress.events, clock.now())

    private fun giveUp(refused: Placement.Refused?) {
        val failure = lastFailure
        val saved = failure?.answer
        when {
            call.exchange.isResponseStarted -> {
                call.exchange.abort()
                parts.log.failed(call, trace, "cut", clock.now())
            }
            saved != null -> {
                call.exchange.respond(saved)
                parts.log.answered(call, trace, saved.status, 0, clock.now())
            }
            mayHaveRun -> answerUnknown(BAD_GATEWAY, "The backend server gave no whole answer.")
            else -> answerNotRun(refused)
        }
    }

    fun timedOut() {
        if (call.exchange.isResponseStarted) {
            call.exchange.abort()
            return parts.log.failed(call, trace, "timeout inside the answer", clock.now())
        }
        if (mayHaveRun) return answerUnknown(GATEWAY_TIMEOUT, "No answer came in time.")
        answerNotRun(null)
    }

    private fun answerUnknown(status: Int, message: String) {
        val refusal = Refusal.OutcomeUnknown("$message Find out whether it ran before you repeat it.")
        call.exchange.respond(parts.answers.unknown(call.attributes.id, status, refusal))
        parts.log.failed(call, trace, "status $status", clock.now())
    }

    private fun answerNotRun(refused: Placement.Refused?) {
        val reason =
            if (refused?.reason == RefusalReason.NO_SERVER) NotRunReason.NO_SERVER else NotRunReason.OVERLOADED
        val wait = refused?.retryAfter ?: BUSY_WAIT
        val refusal = Refusal.NotRun(reason, "No backend server can take the request in time.", wait)
        call.exchange.respond(parts.answers.notRun(call.attributes.id, refusal))
        parts.log.refused(call, trace, refusal, clock.now())
    }

    private companion object {
        val BUSY_WAIT = 500.milliseconds
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        const val MOST_SENDS = 3
        const val MOST_SERVERS = 6

        /** Part of the remaining time within which a server has to begin for the answer to be of use. */
        const val LATEST_START_SHARE = 0.8
    }
}
