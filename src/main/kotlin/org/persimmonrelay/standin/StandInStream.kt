package org.persimmonrelay.standin

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.sync.withLock
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.FinishReason
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.OutputChunk
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** One stream of a [StandInEngine]: the work on the prompt, then the tokens at the engine's rate. */
internal class StandInStream(private val engine: StandInEngine, private val request: GenerateRequest) {
    private val settings = engine.settings
    private val life = engine.life
    private val natural = settings.naturalOutputTokens(request.prompt)
    private val length = minOf(natural, request.maxTokens)
    private var cached = 0

    suspend fun run(out: FlowCollector<OutputChunk>) {
        engine.running.incrementAndGet()
        try {
            cached = prepare()
            if (request.prefillOnly) out.emit(lastPiece(request.resumeAt)) else speak(out)
        } finally {
            engine.running.decrementAndGet()
        }
    }

    /** Does the work on the prompt; returns how many of its tokens needed none. */
    private suspend fun prepare(): Int {
        val tokens = TokenScript.tokensOf(request.prompt) + request.resumeAt
        val hits = minOf(engine.cache.take(request.prompt), tokens)
        if (request.importFrom != null) {
            pause(tokens - hits, settings.importTokensPerSecond)
            return tokens
        }
        val work = tokens - hits
        engine.queuedPrompt.addAndGet(work.toLong())
        try {
            engine.prefill.withLock { pause(work, settings.prefillTokensPerSecond) }
        } finally {
            engine.queuedPrompt.addAndGet(-work.toLong())
        }
        return hits
    }

    private suspend fun speak(out: FlowCollector<OutputChunk>) {
        val fault = engine.faults.take()
        val disorder = engine.faults.disorder()
        val pace = Pace(settings.outputTokensPerSecond, engine.clock)
        var left = length - request.resumeAt
        engine.remainingOutput.addAndGet(left.toLong())
        try {
            for (offset in request.resumeAt..length) {
                val said = offset - request.resumeAt
                pace.await(said)
                if (engine.life != life) throw EngineCrashed()
                if (fault != null && said >= fault.afterTokens) suffer(fault)
                send(piece(offset), disorder, out)
                if (offset < length) left--
                if (offset < length) engine.remainingOutput.decrementAndGet()
            }
        } finally {
            engine.remainingOutput.addAndGet(-left.toLong())
        }
    }

    private suspend fun send(piece: OutputChunk, disorder: PieceDisorder?, out: FlowCollector<OutputChunk>) {
        if (disorder == null) return out.emit(piece)
        disorder.pass(piece).forEach { out.emit(it) }
    }

    private suspend fun suffer(fault: StreamFault): Nothing = when (fault.kind) {
        StreamFaultKind.DISCONNECT -> throw EngineCrashed()
        StreamFaultKind.STALL -> awaitCancellation()
    }

    private fun piece(offset: Int): OutputChunk =
        if (offset == length) lastPiece(length) else piece(offset, TokenScript.token(request.prompt, offset), null)

    private fun lastPiece(offset: Int) = piece(offset, "", TokenScript.finish(natural, request.maxTokens))

    private fun piece(offset: Int, text: String, finish: FinishReason?) = OutputChunk(
        attempt = request.attempt,
        offset = offset,
        text = text,
        finish = finish,
        promptTokens = TokenScript.tokensOf(request.prompt),
        cachedTokens = cached,
    )

    private suspend fun pause(tokens: Int, tokensPerSecond: Double) {
        if (tokensPerSecond > 0.0 && tokens > 0) delay((tokens / tokensPerSecond).seconds)
    }
}

/** Keeps the tokens of one stream to a rate; catches up after a late wake-up. */
private class Pace(private val tokensPerSecond: Double, private val clock: Clock) {
    private val start = clock.now()

    suspend fun await(token: Int) {
        if (tokensPerSecond <= 0.0) return
        val left = start + (token / tokensPerSecond).seconds - clock.now()
        if (left.toDouble(DurationUnit.MILLISECONDS) >= 1.0) delay(left)
    }
}
