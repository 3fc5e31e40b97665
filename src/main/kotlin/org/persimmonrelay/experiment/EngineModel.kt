/*
 * One engine in virtual time. It works in steps: a step reads a chunk of waiting prompts, as its role allows,
 * and writes one token for each running sequence. KV cache comes in pieces; a sequence holds pieces for
 * its whole length from when it is taken in. Prompts leave their blocks in a cache with room for half the pieces.
 */
package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.ServerId

/** What an engine tells of its jobs. */
internal interface EngineListener {
    fun onToken(job: EngineJob)

    fun onPrefilled(job: EngineJob)

    fun onDone(job: EngineJob)
}

/** One attempt at a request. [output] counts tokens that exist, those of earlier attempts included. */
internal class EngineJob(
    val request: TraceRequest,
    val node: Int,
    val attempt: Int,
    val prefill: String,
    val decode: String,
    var output: Int,
) {
    val promptTokens: Int = request.promptTokens + output
    val priority: Int = 0
    var unread = -1
    var cachedTokens = 0
    var cancelled = false

    /** Tokens of KV cache that the finished answer needs. */
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
    private val prompts = ArrayDeque<EngineJob>()
    private val imports = ArrayDeque<EngineJob>()
    private val running = ArrayList<EngineJob>()
    private val cache = BlockCache((profile.kvTokens / 2 / profile.blockTokens).toInt())
    private var kvUsed = 0L
    private var reading = 0
    private var stepping = false
    private var reports = 0L
    private var attempts = 0L

    /** Life of the engine; work of an earlier life has no effect. */
    var life = 0
        private set

    var alive = true
        private set

    var draining = false

    /** Told by the platform to leave; never comes back. */
    var leaving = false

    val isIdle: Boolean
        get() = prompts.isEmpty() && imports.isEmpty() && running.isEmpty()

    /** Seconds spent in steps. */
    var busySeconds = 0.0
        private set

    /** All jobs here, whatever their state. */
    fun jobs(): List<EngineJob> = prompts + imports + running

    fun submit(job: EngineJob) {
        attempts++
        prompts.addLast(job)
        step()
    }

    /** Takes over a job whose prompt another engine has read. */
    fun import(job: EngineJob) {
        imports.addLast(job)
        step()
    }

    /** Stops at once and forgets everything; answers the jobs that were here. */
    fun crash(): List<EngineJob> {
        val lost = jobs()
        alive = false
        life++
        prompts.clear()
        imports.clear()
        running.clear()
        cache.clear()
        kvUsed = 0
        reading = 0
        stepping = false
        attempts = 0
        reports = 0
        return lost
    }

    fun restart(newRole: EngineRole) {
        alive = true
        draining = false
        role = newRole
    }

    /** Away from now on for a change of role; must be idle. */
    fun beginChange() {
        check(isIdle) { "Drain $name before its role is changed." }
        alive = false
        life++
    }

    fun report(): EngineLoadReport = EngineLoadReport(
        server = ServerId(name),
        incarnation = "$life",
        sequence = ++reports,
        role = role,
        models = listOf("model"),
        queuedPromptTokens = prompts.sumOf { maxOf(it.unread, 0).toLong() + if (it.unread < 0) it.promptTokens else 0 },
        runningRequests = running.size + imports.size + prompts.count { it.decode == name },
        remainingOutputTokens = running.sumOf { (it.request.outputTokens - it.output).toLong() },
        kvTokensUsed = kvUsed,
        kvTokensTotal = profile.kvTokens,
        knownAttempts = attempts,
        draining = draining || !alive,
    )

    private fun step() {
        if (stepping || !alive) return
        admitImports()
        val chunk = readChunk()
        if (chunk.tokens == 0 && running.isEmpty()) return
        stepping = true
        val seconds = profile.stepSeconds(running.size, chunk.tokens)
        busySeconds += seconds
        val started = life
        val writing = running.toList()
        loop.after(seconds) { if (life == started) stepEnded(chunk, writing) }
    }

    private class Chunk(val tokens: Int, val finished: List<EngineJob>)

    private fun readChunk(): Chunk {
        if (role == EngineRole.DECODE && running.isNotEmpty()) return NOTHING
        var left = if (role == EngineRole.PREFILL) profile.prefillChunkTokens else profile.mixedChunkTokens
        val most = left
        val finished = ArrayList<EngineJob>(0)
        var index = 0
        while (left > 0 && index < prompts.size && isBegun(prompts[index])) {
            val job = prompts[index++]
            val read = minOf(left, job.unread)
            job.unread -= read
            left -= read
            if (job.unread == 0) finished += job
        }
        return Chunk(most - left, finished)
    }

    private fun isBegun(job: EngineJob): Boolean = job.unread >= 0 || begin(job)

    /** Takes KV cache and looks the prompt up in the prefix cache; false when no room is left. */
    private fun begin(job: EngineJob): Boolean {
        val local = job.decode == name
        if (local && running.size + reading >= profile.maxRunning) return false
        val needed = pieces(if (local) job.kvTokens else job.promptTokens)
        if (kvUsed + needed > profile.kvTokens) return false
        kvUsed += needed
        if (local) reading++
        job.cachedTokens = minOf(cache.held(job.request.prefixBlocks) * profile.blockTokens, job.promptTokens - 1)
        job.unread = job.promptTokens - job.cachedTokens
        return true
    }

    private fun admitImports() {
        while (imports.isNotEmpty() && running.size + reading < profile.maxRunning) {
            val needed = pieces(imports.first().kvTokens)
            if (kvUsed + needed > profile.kvTokens) return
            kvUsed += needed
            running += imports.removeFirst()
        }
    }

    private fun stepEnded(chunk: Chunk, writing: List<EngineJob>) {
        stepping = false
        writing.forEach(::write)
        chunk.finished.forEach(::prefilled)
        step()
    }

    private fun write(job: EngineJob) {
        if (job.cancelled) {
            running.remove(job)
            kvUsed -= pieces(job.kvTokens)
            return
        }
        job.output++
        listener.onToken(job)
        if (job.output < job.request.outputTokens) return
        running.remove(job)
        kvUsed -= pieces(job.kvTokens)
        listener.onDone(job)
    }

    private fun prefilled(job: EngineJob) {
        prompts.remove(job)
        cache.add(job.request.prefixBlocks)
        job.output++
        listener.onToken(job)
        val local = job.decode == name
        if (local) reading--
        val finished = job.output >= job.request.outputTokens
        if (!local || finished) kvUsed -= pieces(if (local) job.kvTokens else job.promptTokens)
        if (finished) return listener.onDone(job)
        if (local) running += job else listener.onPrefilled(job)
    }

    private fun pieces(tokens: Int): Long = (tokens + PIECE_TOKENS - 1L) / PIECE_TOKENS * PIECE_TOKENS

    internal companion object {
        /** Tokens in one piece of KV cache; a profile of 128,000 tokens makes 4,000 pieces. */
        const val PIECE_TOKENS = 32
        private val NOTHING = Chunk(0, emptyList())
    }
}
