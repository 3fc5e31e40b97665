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

/** One stream of a [StandInEngine]: simulates the prefill, then emits tokens at the engine's output rate. */
internal class StandInStream(private val engine: StandInEngine, private val request: GenerateRequest) {
    private val settings = engine.settings
    private val initialCrashCount = engine.crashCount
    private val naturalLength = settings.naturalOutputTokens(request.prompt)
    private val length = minOf(naturalLength, request.maxTokens)
    private var cached = 0

    suspend fun run(out: FlowCollector<OutputChunk>) {
        engine.running.incrementAndGet()
        try {
            cached = runPrefill()
            if (request.prefillOnly) out.emit(finalChunk(request.resumeAt)) else generate(out)
        } finally {
            engine.running.decrementAndGet()
        }
    }

    /** Simulates the prefill or the import of the KV cache; returns the number of tokens that needed no prefill. */
    private suspend fun runPrefill(): Int {
        val tokens = TokenScript.countTokens(request.prompt) + request.resumeAt
        val hits = minOf(engine.cache.lookUpAndStore(request.prompt), tokens)
        if (request.importFrom != null) {
            delayFor(tokens - hits, settings.importTokensPerSecond)
            return tokens
        }
        val uncached = tokens - hits
        engine.queuedPrompt.addAndGet(uncached.toLong())
        try {
            engine.prefill.withLock { delayFor(uncached, settings.prefillTokensPerSecond) }
        } finally {
            engine.queuedPrompt.addAndGet(-uncached.toLong())
        }
        return hits
    }

    private suspend fun generate(out: FlowCollector<OutputChunk>) {
        val fault = engine.faults.nextStreamFault()
        val injector = engine.faults.chunkFaultInjector()
        val pacer = TokenPacer(settings.outputTokensPerSecond, engine.clock)
        var remaining = length - request.resumeAt
        engine.remainingOutput.addAndGet(remaining.toLong())
        try {
            for (offset in request.resumeAt..length) {
                val sent = offset - request.resumeAt
                pacer.await(sent)
                if (engine.crashCount != initialCrashCount) throw EngineCrashed()
                if (fault != null && sent >= fault.afterTokens) injectFault(fault)
                send(chunk(offset), injector, out)
                if (offset < length) remaining--
                if (offset < length) engine.remainingOutput.decrementAndGet()
            }
        } finally {
            engine.remainingOutput.addAndGet(-remaining.toLong())
        }
    }

    private suspend fun send(chunk: OutputChunk, injector: ChunkFaultInjector?, out: FlowCollector<OutputChunk>) {
        if (injector == null) return out.emit(chunk)
        injector.process(chunk).forEach { out.emit(it) }
    }

    private suspend fun injectFault(fault: StreamFault): Nothing = when (fault.kind) {
        StreamFaultKind.DISCONNECT -> throw EngineCrashed()
        StreamFaultKind.STALL -> awaitCancellation()
    }

    private fun chunk(offset: Int): OutputChunk =
        if (offset == length) finalChunk(length) else chunk(offset, TokenScript.token(request.prompt, offset), null)

    private fun finalChunk(offset: Int) = chunk(offset, "", TokenScript.finishReason(naturalLength, request.maxTokens))

    private fun chunk(offset: Int, text: String, finish: FinishReason?) = OutputChunk(
        attempt = request.attempt,
        offset = offset,
        text = text,
        finish = finish,
        promptTokens = TokenScript.countTokens(request.prompt),
        cachedTokens = cached,
    )

    private suspend fun delayFor(tokens: Int, tokensPerSecond: Double) {
        if (tokensPerSecond > 0.0 && tokens > 0) delay((tokens / tokensPerSecond).seconds)
    }
}

/** Limits one stream to a token rate. Delays count from the start, so the stream catches up after a late wake-up. */
private class TokenPacer(private val tokensPerSecond: Double, private val clock: Clock) {
    private val start = clock.now()

    suspend fun await(token: Int) {
        if (tokensPerSecond <= 0.0) return
        val remaining = start + (token / tokensPerSecond).seconds - clock.now()
        if (remaining.toDouble(DurationUnit.MILLISECONDS) >= 1.0) delay(remaining)
    }
}
