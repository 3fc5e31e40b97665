@file:OptIn(InternalCoroutinesApi::class)

package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A process in virtual time and the dispatcher of its coroutines. While it is paused, none of its code runs but its
 * clocks advance. After it is killed, none of its code runs again, not even `finally` blocks.
 *
 * Its monotonic clock runs at [rate] times virtual time and starts at 1000 s; its wall clock is ahead by [wallSkew].
 */
internal class VirtualProcess(
    private val time: VirtualTime,
    val name: String,
    private val rate: Double = 1.0,
    private val wallSkew: Duration = ZERO,
) : CoroutineDispatcher(),
    Delay {
    private val backlog = ArrayDeque<Runnable>()
    private var paused = false

    var killed: Boolean = false
        private set

    /** Scope of the process's coroutines; they run only while the process does. */
    val scope: CoroutineScope = CoroutineScope(this + SupervisorJob())

    /** The monotonic and wall clocks of the process. */
    val clock: Clock = object : Clock {
        override fun now(): Moment = Moment((time.now.nanos * rate).toLong()) + ORIGIN

        override fun wallMillis(): Long = WALL_START_MILLIS + time.now.nanos / NANOS_PER_MILLI +
            wallSkew.inWholeMilliseconds
    }

    val isRunning: Boolean
        get() = !paused && !killed

    fun pause() {
        paused = true
    }

    fun resume() {
        paused = false
        while (backlog.isNotEmpty()) {
            val block = backlog.removeFirst()
            time.after(ZERO) { run(block) }
        }
    }

    fun kill() {
        killed = true
        backlog.clear()
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (!killed) time.after(ZERO) { run(block) }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        time.after(toVirtual(timeMillis)) {
            run(Runnable { with(continuation) { resumeUndispatched(Unit) } })
        }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        var disposed = false
        time.after(toVirtual(timeMillis)) {
            run(Runnable { if (!disposed) block.run() })
        }
        return DisposableHandle { disposed = true }
    }

    private fun toVirtual(timeMillis: Long): Duration = timeMillis.milliseconds / rate

    private fun run(block: Runnable) {
        when {
            killed -> return
            paused -> backlog += block
            else -> block.run()
        }
    }

    private companion object {
        val ORIGIN: Duration = 1_000.seconds
        const val WALL_START_MILLIS = 1_800_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
