/*
 * Model of one engine in virtual time. An engine works in steps: a step prefills a chunk of the queued prompts, as
 * its role allows, and decodes one token for each running sequence. KV cache is allocated in pages; a sequence
 * reserves the pages for its full length at admission. The prefix cache holds as many tokens as half the KV cache.
 */
package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.ServerId

/** Callbacks for the progress of an engine's jobs. */
internal interface EngineListener {
    fun onToken(job: EngineJob)

    fun onPrefilled(job: EngineJob)

    fun onDone(job: EngineJob)
}

/** One attempt at a request. [generatedTokens] includes the output of earlier attempts. */
internal class EngineJob(
    val request: TraceRequest,
    val node: Int,
    val attempt: Int,
    val prefill: String,
    val decode: String,
    var generatedTokens: Int,
) {
    val promptTokens: Int = request.promptTokens + generatedTokens
    val priority: Int = 0

    /** Prompt tokens still to prefill; -1 before the job is admitted. */
    var prefillTokensLeft = -1
    var cachedTokens = 0
    var cancelled = false

    /** Tokens of KV cache that the completed sequence occupies. */
    val kvTokens: Int
        get() = request.promptTokens + request.outputTokens
}

internal class EngineModel(
    val name: String,
    val domain: String,
    var role: EngineRole,
    private val profile: EngineProfile,
    private val loop: EventLoop,
    private val listener: EngineListener,
) {
    private val prefillQueue = ArrayDeque<EngineJob>()
    private val importQueue = ArrayDeque<EngineJob>()
    private val running = ArrayList<EngineJob>()
    private val cache = BlockCache((profile.kvTokens / 2 / profile.blockTokens).toInt())
    private var kvUsed = 0L
    private var activePrefills = 0
    private var stepping = false
    private var reports = 0L
    private var receivedAttempts = 0L

    /** Increases with each crash and role change; events of an earlier incarnation are ignored. */
    var incarnation = 0
        private set

    var alive = true
        private set

    var draining = false

    /** The platform has announced that it will stop this engine for good. */
    var terminating = false

    val isIdle: Boolean
        get() = prefillQueue.isEmpty() && importQueue.isEmpty() && running.isEmpty()

    /** Seconds spent executing steps. */
    var busySeconds = 0.0
        private set

    /** All jobs of this engine, queued or running. */
    fun jobs(): List<EngineJob> = prefillQueue + importQueue + running

    fun submit(job: EngineJob) {
        receivedAttempts++
        prefillQueue.addLast(job)
        step()
    }

    /** Queues a job that another engine has prefilled, to be decoded here. */
    fun import(job: EngineJob) {
        importQueue.addLast(job)
        step()
    }

    /** Stops the engine and clears its state; returns the jobs that were lost. */
    fun crash(): List<EngineJob> {
        val lostJobs = jobs()
        alive = false
        incarnation++
        prefillQueue.clear()
        importQueue.clear()
        running.clear()
        cache.clear()
        kvUsed = 0
        activePrefills = 0
        stepping = false
        receivedAttempts = 0
        reports = 0
        return lostJobs
    }

    fun restart(newRole: EngineRole) {
        alive = true
        draining = false
        role = newRole
    }

    /** Takes the engine out of service for a role change until [restart]; the engine must be idle. */
    fun beginRoleChange() {
        check(isIdle) { "Drain $name before its role is changed." }
        alive = false
        incarnation++
    }

    fun report(): EngineLoadReport = EngineLoadReport(
        server = ServerId(name),
        incarnation = "$incarnation",
        sequence = ++reports,
        role = role,
        models = listOf("model"),
        queuedPromptTokens = prefillQueue.sumOf {
            maxOf(it.prefillTokensLeft, 0).toLong() +
                if (it.prefillTokensLeft < 0) it.promptTokens else 0
        },
        runningRequests = running.size + importQueue.size + prefillQueue.count { it.decode == name },
        remainingOutputTokens = running.sumOf { (it.request.outputTokens - it.generatedTokens).toLong() },
        kvTokensUsed = kvUsed,
        kvTokensTotal = profile.kvTokens,
        knownAttempts = receivedAttempts,
        draining = draining || !alive,
    )

    private fun step() {
        if (stepping || !alive) return
        admitImports()
        val chunk = planPrefill()
        if (chunk.tokens == 0 && running.isEmpty()) return
        stepping = true
        val seconds = profile.stepSeconds(running.size, chunk.tokens)
        busySeconds += seconds
        val startedIncarnation = incarnation
        val batch = running.toList()
        loop.after(seconds) { if (incarnation == startedIncarnation) stepEnded(chunk, batch) }
    }

    private class PrefillChunk(val tokens: Int, val finished: List<EngineJob>)

    private fun planPrefill(): PrefillChunk {
        if (role == EngineRole.DECODE && running.isNotEmpty()) return EMPTY_CHUNK
        var remaining = if (role == EngineRole.PREFILL) profile.prefillChunkTokens else profile.mixedChunkTokens
        val chunkLimit = remaining
        val finished = ArrayList<EngineJob>(0)
        var index = 0
        while (remaining > 0 && index < prefillQueue.size && isAdmitted(prefillQueue[index])) {
            val job = prefillQueue[index++]
            val prefilledNow = minOf(remaining, job.prefillTokensLeft)
            job.prefillTokensLeft -= prefilledNow
            remaining -= prefilledNow
            if (job.prefillTokensLeft == 0) finished += job
        }
        return PrefillChunk(chunkLimit - remaining, finished)
    }

    private fun isAdmitted(job: EngineJob): Boolean = job.prefillTokensLeft >= 0 || admit(job)

    /** Reserves KV cache and looks the prompt up in the prefix cache; false when the KV cache or the batch is full. */
    private fun admit(job: EngineJob): Boolean {
        val local = job.decode == name
        if (local && running.size + activePrefills >= profile.maxRunning) return false
        val needed = roundUpToPages(if (local) job.kvTokens else job.promptTokens)
        if (kvUsed + needed > profile.kvTokens) return false
        kvUsed += needed
        if (local) activePrefills++
        job.cachedTokens =
            minOf(cache.cachedPrefixBlocks(job.request.prefixBlocks) * profile.blockTokens, job.promptTokens - 1)
        job.prefillTokensLeft = job.promptTokens - job.cachedTokens
        return true
    }

    private fun admitImports() {
        while (importQueue.isNotEmpty() && running.size + activePrefills < profile.maxRunning) {
            val needed = roundUpToPages(importQueue.first().kvTokens)
            if (kvUsed + needed > profile.kvTokens) return
            kvUsed += needed
            running += importQueue.removeFirst()
        }
    }

    private fun stepEnded(chunk: PrefillChunk, batch: List<EngineJob>) {
        stepping = false
        batch.forEach(::decodeToken)
        chunk.finished.forEach(::prefilled)
        step()
    }

    private fun decodeToken(job: EngineJob) {
        if (job.cancelled) {
            running.remove(job)
            kvUsed -= roundUpToPages(job.kvTokens)
            return
        }
        job.generatedTokens++
        listener.onToken(job)
        if (job.generatedTokens < job.request.outputTokens) return
        running.remove(job)
        kvUsed -= roundUpToPages(job.kvTokens)
        listener.onDone(job)
    }

    private fun prefilled(job: EngineJob) {
        prefillQueue.remove(job)
        cache.add(job.request.prefixBlocks)
        job.generatedTokens++
        listener.onToken(job)
        val local = job.decode == name
        if (local) activePrefills--
        val finished = job.generatedTokens >= job.request.outputTokens
        if (!local || finished) kvUsed -= roundUpToPages(if (local) job.kvTokens else job.promptTokens)
        if (finished) return listener.onDone(job)
        if (local) running += job else listener.onPrefilled(job)
    }

    private fun roundUpToPages(tokens: Int): Long = (tokens + KV_PAGE_TOKENS - 1L) / KV_PAGE_TOKENS * KV_PAGE_TOKENS

    internal companion object {
        /** Tokens per page of KV cache; a KV cache of 128,000 tokens has 4,000 pages. */
        const val KV_PAGE_TOKENS = 32
        private val EMPTY_CHUNK = PrefillChunk(0, emptyList())
    }
}
