/*
 * Runs completions on engines. An attempt that fails, times out or loses an output chunk is replaced by another that
 * resumes after the output that the caller has already received.
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

/** Runs [CompletionJob]s on engines, each with at most [maxAttempts] attempts. Thread-safe. */
public class CompletionRunner(
    private val engine: EngineClient,
    private val maxAttempts: Int,
    private val events: EventSink,
) {
    /** Starts [job] in [scope]. The channel closes after the last event; cancelling it cancels the engine's stream. */
    @OptIn(ExperimentalCoroutinesApi::class)
    public fun start(scope: CoroutineScope, job: CompletionJob): ReceiveChannel<CompletionEvent> =
        scope.produce(capacity = EVENT_BUFFER) {
            val running = launch { Execution(job, channel).run() }
            job.onEnded { running.cancel() }
            running.join()
            job.endedWith?.let { send(endedEvent(job, it)) }
        }

    private fun endedEvent(job: CompletionJob, refusal: Refusal): CompletionEvent {
        if (refusal is Refusal.OutcomeUnknown) events.record(EntryEvent.ANSWER_CUT, "request" with job.dispatch.id)
        return CompletionEvent.Failed(refusal)
    }

    private inner class Execution(private val job: CompletionJob, private val out: SendChannel<CompletionEvent>) {
        private val assembler = OutputAssembler()
        private var attempt = 0
        private var attemptsPossiblyRun = 0
        private var failedServer: ServerId? = null
        private var lastReported = 0

        suspend fun run() {
            while (true) {
                val placement = job.queue.place(arrival()).getOrElse { return out.send(failed(it)) }
                if (!job.tryStart()) return job.queue.recordEnd(job.dispatch.id, placement.decode, AttemptEnd.CANCELLED)
                val failure = runAttempt(placement) ?: return
                if (attempt >= maxAttempts) return out.send(attemptsExhausted(failure))
            }
        }

        private fun arrival() = DispatchEvent.Arrived(
            request = job.dispatch,
            outputSoFar = assembler.nextOffset,
            attempt = attemptsPossiblyRun,
            failedServer = failedServer,
        )

        private suspend fun runAttempt(placement: EnginePlacement): EngineFailure? {
            attempt++
            assembler.startAttempt(attempt)
            var end = AttemptEnd.CANCELLED
            var server = placement.decode
            try {
                val prefillFailure = prefill(placement)
                if (prefillFailure != null) server = placement.prefill
                val failure = prefillFailure ?: decode(placement)
                end = attemptEndOf(failure)
                if (failure != null) recordFailure(server, failure)
                return failure
            } finally {
                job.queue.recordEnd(job.dispatch.id, server, end)
            }
        }

        private fun attemptEndOf(failure: EngineFailure?) = when (failure) {
            null -> AttemptEnd.DONE
            is EngineFailure.Refused -> AttemptEnd.ENGINE_REFUSED
            else -> AttemptEnd.ENGINE_FAILED
        }

        private fun recordFailure(server: ServerId, failure: EngineFailure) {
            failedServer = server
            if (failure is EngineFailure.NotSent) job.queue.markUnreachable(server) else attemptsPossiblyRun++
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
            val request = attemptRequest().copy(prefillOnly = true)
            return streamOutput(placement.prefill, request) { chunks -> chunks.any { it.finish != null } }
        }

        private suspend fun decode(placement: EnginePlacement): EngineFailure? {
            val prefillServer = placement.prefill.takeIf { it != placement.decode }
            val request = attemptRequest().copy(importFrom = prefillServer?.let { job.queue.address(it)?.value })
            return streamOutput(placement.decode, request) { chunks -> emit(chunks) }
        }

        private fun attemptRequest() = job.request.copy(attempt = attempt, resumeAt = assembler.nextOffset)

        /** Passes chunks to [accept] until it returns true; a stream that ends before that is a failure. */
        private suspend fun streamOutput(
            server: ServerId,
            request: GenerateRequest,
            accept: suspend (List<OutputChunk>) -> Boolean,
        ): EngineFailure? {
            val address =
                job.queue.address(server) ?: return EngineFailure.NotSent("The address of server $server is unknown.")
            return coroutineScope {
                val stream = engine.generate(address, request).produceIn(this)
                val failure = readOutput(stream, accept)
                if (failure == null) withTimeoutOrNull(STREAM_CLOSE_TIMEOUT) { stream.consumeEach { } }
                stream.cancel()
                failure
            }
        }

        private suspend fun readOutput(
            stream: ReceiveChannel<Either<EngineFailure, OutputChunk>>,
            accept: suspend (List<OutputChunk>) -> Boolean,
        ): EngineFailure? {
            val chunks = ArrayList<OutputChunk>()
            for (first in stream) {
                var failure = add(first, chunks)
                while (failure == null && chunks.size < MAX_CHUNKS_PER_READ) {
                    val next = stream.tryReceive().getOrNull() ?: break
                    failure = add(next, chunks)
                }
                if (accept(chunks)) return null
                if (failure != null) return failure
                chunks.clear()
                if (assembler.isChunkLost) return EngineFailure.RequestFailed("An output chunk was lost; resuming.")
            }
            return EngineFailure.RequestFailed("The stream ended without a finish reason.")
        }

        private fun add(item: Either<EngineFailure, OutputChunk>, chunks: MutableList<OutputChunk>): EngineFailure? =
            item.fold(
                ifLeft = { it },
                ifRight = {
                    chunks += it
                    null
                },
            )

        /** Sends the chunks that are in order to the caller; true when the output is complete. */
        private suspend fun emit(chunks: List<OutputChunk>): Boolean {
            val output = ArrayList<OutputChunk>(chunks.size)
            chunks.forEach { assembler.accept(it, output) }
            if (output.isNotEmpty()) {
                reportProgress(output.last().cachedTokens)
                out.send(CompletionEvent.Output(output))
            }
            return assembler.finish != null
        }

        private fun reportProgress(cachedTokens: Int) {
            if (lastReported > 0 && assembler.nextOffset < lastReported + PROGRESS_INTERVAL_TOKENS) return
            lastReported = maxOf(1, assembler.nextOffset)
            job.queue.recordProgress(job.dispatch.id, assembler.nextOffset, cachedTokens)
        }

        private fun failed(refusal: Refusal): CompletionEvent.Failed {
            if (attemptsPossiblyRun == 0 || refusal is Refusal.OutcomeUnknown) return CompletionEvent.Failed(refusal)
            return CompletionEvent.Failed(Refusal.OutcomeUnknown("The answer broke off: ${refusal.message}"))
        }

        private fun attemptsExhausted(failure: EngineFailure): CompletionEvent.Failed {
            events.record(
                EntryEvent.ANSWER_GIVEN_UP,
                "request" with job.dispatch.id,
                "attempts" with attempt,
                "failure" with failure.message,
            )
            return failed(ErrorResponses.noEngineAvailable())
        }
    }

    private companion object {
        const val EVENT_BUFFER = 16
        const val MAX_CHUNKS_PER_READ = 256
        const val PROGRESS_INTERVAL_TOKENS = 16

        /** How long to wait for an engine to close its stream after the last output chunk. */
        val STREAM_CLOSE_TIMEOUT = 250.milliseconds
    }
}
