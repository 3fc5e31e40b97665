/*
 * Carries one answer from engines to its caller. An attempt that breaks, goes silent or loses a piece is
 * replaced by another that resumes where the caller's text ends.
 */
package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.channels.produce
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineFailure
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.OutputChunk
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.routing.AttemptEnd
import org.persimmonrelay.routing.DispatchEvent
import org.persimmonrelay.routing.EnginePlacement
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/** Runs [AnswerJob]s on engines. Thread-safe. */
public class AnswerRelay(
    private val engine: EngineClient,
    private val maxAttempts: Int,
    private val events: EventSink,
) {
    /** Begins [job] in [scope]; the channel closes after the last event. Cancelling it cancels the engine's stream. */
    @OptIn(ExperimentalCoroutinesApi::class)
    public fun open(scope: CoroutineScope, job: AnswerJob): ReceiveChannel<AnswerEvent> =
        scope.produce(capacity = EVENT_BUFFER) {
            val running = launch { Run(job, channel).start() }
            job.onEnd { running.cancel() }
            running.join()
            job.ended?.let { send(cut(job, it)) }
        }

    private fun cut(job: AnswerJob, refusal: Refusal): AnswerEvent {
        if (refusal is Refusal.OutcomeUnknown) events.record(EntryEvent.ANSWER_CUT, "request" with job.dispatch.id)
        return AnswerEvent.Failed(refusal)
    }

    private inner class Run(private val job: AnswerJob, private val out: SendChannel<AnswerEvent>) {
        private val assembler = AnswerAssembler()
        private var attempt = 0
        private var attemptsThatMayHaveRun = 0
        private var failedServer: ServerId? = null
        private var reported = 0

        suspend fun start() {
            while (true) {
                val placement = job.gate.place(arrival()).getOrElse { return out.send(failed(it)) }
                if (!job.beginRunning()) return job.gate.ended(job.dispatch.id, placement.decode, AttemptEnd.CANCELLED)
                val failure = attempt(placement) ?: return
                if (attempt >= maxAttempts) return out.send(givenUp(failure))
            }
        }

        private fun arrival() = DispatchEvent.Arrived(
            request = job.dispatch,
            outputSoFar = assembler.nextOffset,
            attempt = attemptsThatMayHaveRun,
            failedServer = failedServer,
        )

        private suspend fun attempt(placement: EnginePlacement): EngineFailure? {
            attempt++
            assembler.begin(attempt)
            var end = AttemptEnd.CANCELLED
            var at = placement.decode
            try {
                val prefillFailure = prefill(placement)
                if (prefillFailure != null) at = placement.prefill
                val failure = prefillFailure ?: decode(placement)
                end = endOf(failure)
                if (failure != null) note(at, failure)
                return failure
            } finally {
                job.gate.ended(job.dispatch.id, at, end)
            }
        }

        private fun endOf(failure: EngineFailure?) = when (failure) {
            null -> AttemptEnd.DONE
            is EngineFailure.Refused -> AttemptEnd.ENGINE_REFUSED
            else -> AttemptEnd.ENGINE_FAILED
        }

        private fun note(server: ServerId, failure: EngineFailure) {
            failedServer = server
            if (failure is EngineFailure.NotSent) job.gate.unreachable(server) else attemptsThatMayHaveRun++
            events.record(
                EntryEvent.ATTEMPT_FAILED,
                "request" with job.dispatch.id,
                "server" with server,
                "attempt" with attempt,
                "resumeAt" with assembler.nextOffset,
                "failure" with failure.message,
            )
        }

        private suspend fun prefill(placement: EnginePlacement): EngineFailure? {
            if (placement.prefill == placement.decode) return null
            val work = work().copy(prefillOnly = true)
            return collect(placement.prefill, work) { batch -> batch.any { it.finish != null } }
        }

        private suspend fun decode(placement: EnginePlacement): EngineFailure? {
            val source = placement.prefill.takeIf { it != placement.decode }
            val work = work().copy(importFrom = source?.let { job.gate.address(it)?.value })
            return collect(placement.decode, work) { batch -> handOn(batch) }
        }

        private fun work() = job.work.copy(attempt = attempt, resumeAt = assembler.nextOffset)

        /** Passes batches to [take] until it returns true; a stream that ends before that has failed. */
        private suspend fun collect(
            server: ServerId,
            work: GenerateRequest,
            take: suspend (List<OutputChunk>) -> Boolean,
        ): EngineFailure? {
            val address =
                job.gate.address(server) ?: return EngineFailure.NotSent("Server $server has no address any more.")
            return coroutineScope {
                val stream = engine.generate(address, work).produceIn(this)
                val failure = drain(stream, take)
                if (failure == null) withTimeoutOrNull(LINGER) { stream.consumeEach { } }
                stream.cancel()
                failure
            }
        }

        private suspend fun drain(
            stream: ReceiveChannel<Either<EngineFailure, OutputChunk>>,
            take: suspend (List<OutputChunk>) -> Boolean,
        ): EngineFailure? {
            val batch = ArrayList<OutputChunk>()
            for (first in stream) {
                var failure = add(first, batch)
                while (failure == null && batch.size < MAX_BATCH) {
                    val next = stream.tryReceive().getOrNull() ?: break
                    failure = add(next, batch)
                }
                if (take(batch)) return null
                if (failure != null) return failure
                batch.clear()
                if (assembler.isStuck) {
                    return EngineFailure.RequestFailed(
                        "A piece was lost; the answer resumes elsewhere.",
                    )
                }
            }
            return EngineFailure.RequestFailed("The stream ended without an end mark.")
        }

        private fun add(item: Either<EngineFailure, OutputChunk>, batch: MutableList<OutputChunk>): EngineFailure? =
            item.fold(
                ifLeft = { it },
                ifRight = {
                    batch += it
                    null
                },
            )

        /** Hands on what is in order; true at the end mark. */
        private suspend fun handOn(batch: List<OutputChunk>): Boolean {
            val ready = ArrayList<OutputChunk>(batch.size)
            batch.forEach { assembler.accept(it, ready) }
            if (ready.isNotEmpty()) {
                progress(ready.last().cachedTokens)
                out.send(AnswerEvent.Pieces(ready))
            }
            return assembler.finish != null
        }

        private fun progress(cachedTokens: Int) {
            if (reported > 0 && assembler.nextOffset < reported + PROGRESS_STEP) return
            reported = maxOf(1, assembler.nextOffset)
            job.gate.progressed(job.dispatch.id, assembler.nextOffset, cachedTokens)
        }

        private fun failed(refusal: Refusal): AnswerEvent.Failed {
            if (attemptsThatMayHaveRun == 0 || refusal is Refusal.OutcomeUnknown) return AnswerEvent.Failed(refusal)
            return AnswerEvent.Failed(Refusal.OutcomeUnknown("The answer broke off: ${refusal.message}"))
        }

        private fun givenUp(failure: EngineFailure): AnswerEvent.Failed {
            events.record(
                EntryEvent.ANSWER_GIVEN_UP,
                "request" with job.dispatch.id,
                "attempts" with attempt,
                "failure" with failure.message,
            )
            return failed(ErrorAnswers.enginesFailed())
        }
    }

    private companion object {
        const val EVENT_BUFFER = 16
        const val MAX_BATCH = 256
        const val PROGRESS_STEP = 16

        /** How long an engine may take to close a stream after its end mark. */
        val LINGER = 250.milliseconds
    }
}
