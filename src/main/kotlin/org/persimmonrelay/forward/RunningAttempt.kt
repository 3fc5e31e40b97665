package org.persimmonrelay.forward

import kotlinx.coroutines.Deferred
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.InFlightRequest
import org.persimmonrelay.backend.Placement

/** A request to one server, as part of an attempt. */
internal class ServerCall(
    val chosen: Placement.Chosen,
    val task: ServerTask,
    val inFlight: InFlightRequest,
    val trace: TracedAttempt,
) {
    /** True once a part of the response was overdue. */
    var isOverdue = false

    val server: BackendServer
        get() = chosen.server
}

/**
 * An attempt that is under way: a run at one server, or a prefill at one and then a decode at another. Confined to the
 * traffic thread.
 */
internal class RunningAttempt {
    /** When the next part of the response is due. */
    val nextPart = PartDeadline()

    /** Ends with the outcome of the attempt. */
    lateinit var outcome: Deferred<AttemptOutcome>

    /** False once the attempt has ended; its end may not have been handled yet. */
    val isUnderWay: Boolean
        get() = !outcome.isCompleted

    /** The present request to a server; null before the first. */
    var call: ServerCall? = null

    /** True when another attempt goes on with the request. */
    var isReplaced = false
        private set

    /** True if a server may run the request in this attempt; prefilling its prompt is not to run it. */
    val mayRun: Boolean
        get() = call?.task !is ServerTask.Prefill

    /** Ends the attempt, since another one goes on with the request. */
    fun replace() {
        isReplaced = true
        outcome.cancel()
    }
}
