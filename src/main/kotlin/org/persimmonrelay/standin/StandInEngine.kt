package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.onCompletion
import kotlinx.coroutines.sync.Mutex
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.OutputChunk
import org.persimmonrelay.identity.ServerId
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** The stand-in died or was taken away while a stream ran. */
public class EngineCrashed : IOException("The engine crashed.")

/** An engine without a model: says [TokenScript]'s words at the rates of [settings]. Thread-safe. */
public class StandInEngine(
    public val settings: StandInEngineSettings,
    internal val clock: Clock,
    public val faults: EngineFaults = EngineFaults(),
) {
    private val state = StandInEngineState(settings)
    private val lifeNumber = AtomicInteger()
    private val attempts = AtomicLong()
    private val cancelled = AtomicInteger()
    internal val cache = PrefixCache(settings.cacheBlocks)
    internal val prefill = Mutex()
    internal val running = AtomicInteger()
    internal val queuedPrompt = AtomicLong()
    internal val remainingOutput = AtomicLong()
    private val reports = LaggedReports(settings.reportLag)

    /** Streams that run now. */
    public val runningStreams: Int get() = running.get()

    /** Streams whose caller went away before the end. */
    public val cancelledStreams: Int get() = cancelled.get()

    /** Grows with each crash. */
    internal val life: Int get() = lifeNumber.get()

    /** Attempts begun since the start. */
    public val startedAttempts: Long get() = attempts.get()

    /** Orders obeyed since the start, in order. */
    public val obeyed: List<ObeyedOrder> get() = state.obeyed()

    /** While true the engine refuses new work. */
    @Volatile
    public var draining: Boolean = false

    /** Begins [request], or says why the engine refuses it. */
    public fun generate(request: GenerateRequest): Either<String, Flow<OutputChunk>> {
        val refusal = refusal(request)
        if (refusal != null) return refusal.left()
        attempts.incrementAndGet()
        return flow { StandInStream(this@StandInEngine, request).run(this) }
            .onCompletion { if (it is CancellationException) cancelled.incrementAndGet() }
            .right()
    }

    /** Ends every stream at once and forgets the cache; the engine is a new incarnation afterwards. */
    public fun crash() {
        lifeNumber.incrementAndGet()
        cache.clear()
    }

    public fun order(order: EngineCommand): EngineCommandResult {
        val answer = state.order(order, clock.now())
        if (answer is EngineCommandResult.Accepted && order is EngineCommand.ChangeRole) crash()
        return answer
    }

    /** The load as it was [StandInEngineSettings.reportLag] ago. */
    public fun load(): EngineLoadReport {
        val now = clock.now()
        return reports.exchange(report(), now)
    }

    private fun report() = EngineLoadReport(
        server = ServerId(settings.server),
        incarnation = life.toString(),
        sequence = reports.nextSequence(),
        role = state.role(),
        models = state.models(),
        queuedPromptTokens = queuedPrompt.get(),
        runningRequests = running.get(),
        remainingOutputTokens = remainingOutput.get(),
        kvTokensUsed = cache.usedTokens,
        kvTokensTotal = settings.cacheBlocks.toLong() * BLOCK_TOKENS,
        knownAttempts = attempts.get(),
        draining = draining,
    )

    private fun refusal(request: GenerateRequest): String? {
        val now = clock.now()
        return when {
            draining -> "The engine drains; send new work elsewhere."
            state.isChanging(now) -> "The engine carries out a change; send new work elsewhere."
            request.model !in state.models() -> "The engine has not loaded ${request.model}."
            else -> null
        }
    }

    private companion object {
        const val BLOCK_TOKENS = 16
    }
}
