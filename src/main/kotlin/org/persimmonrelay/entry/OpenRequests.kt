package org.persimmonrelay.entry

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Counts the requests in hand and turns new ones away once the node leaves. Thread-safe. */
public class OpenRequests(private val limit: Int) {
    private val state = MutableStateFlow(State(0, false))

    /** True once the node leaves. */
    public val isLeaving: Boolean get() = state.value.leaving

    /** Requests in hand. */
    public val count: Int get() = state.value.open

    /** Takes a request in hand; the caller must [exit] when it was [Entrance.ADMITTED]. */
    public fun enter(): Entrance {
        while (true) {
            val now = state.value
            if (now.leaving) return Entrance.LEAVING
            if (now.open >= limit) return Entrance.FULL
            if (state.compareAndSet(now, now.copy(open = now.open + 1))) return Entrance.ADMITTED
        }
    }

    public fun exit(): Unit = change { it.copy(open = it.open - 1) }

    /** Turns new requests away from now on. */
    public fun leave(): Unit = change { it.copy(leaving = true) }

    /** Waits for the requests in hand to finish; returns how many are left after [bound]. */
    public suspend fun awaitNone(bound: Duration): Int {
        withTimeoutOrNull(bound) { state.first { it.open == 0 } }
        return count
    }

    private inline fun change(step: (State) -> State) {
        while (true) {
            val now = state.value
            if (state.compareAndSet(now, step(now))) return
        }
    }

    private data class State(val open: Int, val leaving: Boolean)
}

/** Whether a request may come in. */
public enum class Entrance { ADMITTED, LEAVING, FULL }
