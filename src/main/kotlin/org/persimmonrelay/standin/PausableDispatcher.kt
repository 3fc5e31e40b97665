package org.persimmonrelay.standin

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/** A dispatcher over a test dispatcher that can hold all work of one process, as a long pause does. */
@OptIn(InternalCoroutinesApi::class)
public class PausableDispatcher(private val inner: CoroutineDispatcher) :
    CoroutineDispatcher(),
    Delay {
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var paused = false

    /** Holds whatever becomes ready to run from now on. */
    public fun pause() {
        paused = true
    }

    /** Runs what was held, in its order. */
    public fun resume() {
        paused = false
        while (held.isNotEmpty()) {
            val (context, block) = held.removeFirst()
            inner.dispatch(context, block)
        }
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (paused) held += context to block else inner.dispatch(context, block)
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = (inner as Delay).invokeOnTimeout(timeMillis, { continuation.resume(Unit) }, continuation.context)
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        (inner as Delay).invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)
}
