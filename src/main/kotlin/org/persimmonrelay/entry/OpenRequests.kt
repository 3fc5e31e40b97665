package org.persimmonrelay.entry

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Counts open requests, at most [limit], and rejects new ones while the node drains. Thread-safe. */
public class OpenRequests(private val limit: Int) {
    private val state = MutableStateFlow(State(0, false))

    /** True once [startDraining] was called. */
    public val isDraining: Boolean get() = state.value.draining

    /** Number of open requests. */
    public val count: Int get() = state.value.open

    /** Tries to open a request. If the result is [AdmissionDecision.ADMITTED], [close] must be called when it ends. */
    public fun tryOpen(): AdmissionDecision {
        while (true) {
            val current = state.value
            if (current.draining) return AdmissionDecision.DRAINING
            if (current.open >= limit) return AdmissionDecision.FULL
            if (state.compareAndSet(current, current.copy(open = current.open + 1))) return AdmissionDecision.ADMITTED
        }
    }

    public fun close(): Unit = update { it.copy(open = it.open - 1) }

    /** Rejects new requests from now on. */
    public fun startDraining(): Unit = update { it.copy(draining = true) }

    /** Waits for the open requests to end; returns the number still open after [timeout]. */
    public suspend fun awaitAllClosed(timeout: Duration): Int {
        withTimeoutOrNull(timeout) { state.first { it.open == 0 } }
        return count
    }

    private inline fun update(transform: (State) -> State) {
        while (true) {
            val current = state.value
            if (state.compareAndSet(current, transform(current))) return
        }
    }

    private data class State(val open: Int, val draining: Boolean)
}

/** Whether a new request is admitted, and if not, why. */
public enum class AdmissionDecision { ADMITTED, DRAINING, FULL }
