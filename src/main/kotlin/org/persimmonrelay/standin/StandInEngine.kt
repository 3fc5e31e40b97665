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

/** The stand-in engine crashed or was removed while a stream was running. */
public class EngineCrashed : IOException("The engine crashed.")

/** An engine without a model: generates the text of [TokenScript] at the rates of [settings]. Thread-safe. */
public class StandInEngine(
    public val settings: StandInEngineSettings,
    internal val clock: Clock,
    public val faults: EngineFaults = EngineFaults(),
) {
    private val state = StandInEngineState(settings)
    private val crashCounter = AtomicInteger()
    private val attempts = AtomicLong()
    private val cancelled = AtomicInteger()
    internal val cache = PrefixCache(settings.cacheBlocks)
    internal val prefill = Mutex()
    internal val running = AtomicInteger()
    internal val queuedPrompt = AtomicLong()
    internal val remainingOutput = AtomicLong()
    private val reports = LaggedReports(settings.reportLag)

    /** Number of running streams. */
    public val runningStreams: Int get() = running.get()

    /** Number of streams that the caller cancelled before their end. */
    public val cancelledStreams: Int get() = cancelled.get()

    /** Number of crashes; a stream that started before the last crash fails. */
    internal val crashCount: Int get() = crashCounter.get()

    /** Number of attempts accepted since the engine was created. */
    public val startedAttempts: Long get() = attempts.get()

    /** Commands executed since the engine was created, in order. */
    public val executedCommands: List<ExecutedCommand> get() = state.executedCommands()

    /** While true, the engine refuses new requests. */
    @Volatile
    public var draining: Boolean = false

    /** Returns the output chunks of [request], or the reason why the engine refuses it. */
    public fun generate(request: GenerateRequest): Either<String, Flow<OutputChunk>> {
        val refusal = refusal(request)
        if (refusal != null) return refusal.left()
        attempts.incrementAndGet()
        return flow { StandInStream(this@StandInEngine, request).run(this) }
            .onCompletion { if (it is CancellationException) cancelled.incrementAndGet() }
            .right()
    }

    /** Fails every running stream and clears the cache; the engine then runs as a new incarnation. */
    public fun crash() {
        crashCounter.incrementAndGet()
        cache.clear()
    }

    /** Executes [command]; an accepted change of role also restarts the engine as [crash] does. */
    public fun execute(command: EngineCommand): EngineCommandResult {
        val result = state.execute(command, clock.now())
        if (result is EngineCommandResult.Accepted && command is EngineCommand.ChangeRole) crash()
        return result
    }

    /** Returns the load report of [StandInEngineSettings.reportLag] ago. */
    public fun loadReport(): EngineLoadReport {
        val now = clock.now()
        return reports.recordAndRead(currentReport(), now)
    }

    private fun currentReport() = EngineLoadReport(
        server = ServerId(settings.server),
        incarnation = crashCount.toString(),
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
