package org.persimmonrelay.standin

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/** Wraps a test dispatcher and can suspend all work of one simulated process, like a long GC pause. */
@OptIn(InternalCoroutinesApi::class)
public class PausableDispatcher(private val inner: CoroutineDispatcher) :
    CoroutineDispatcher(),
    Delay {
    private val queued = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var paused = false

    /** Queues all tasks that become ready to run until [resume]. */
    public fun pause() {
        paused = true
    }

    /** Runs the queued tasks in order. */
    public fun resume() {
        paused = false
        while (queued.isNotEmpty()) {
            val (context, block) = queued.removeFirst()
            inner.dispatch(context, block)
        }
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (paused) queued += context to block else inner.dispatch(context, block)
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = (inner as Delay).invokeOnTimeout(timeMillis, { continuation.resume(Unit) }, continuation.context)
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        (inner as Delay).invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)
}
