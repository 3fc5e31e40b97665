package org.persimmonrelay.entry

import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.routing.DispatchRequest
import java.util.concurrent.atomic.AtomicReference

/** One caller's request on its way, and whether it may still be called "not run". Thread-safe. */
public class AnswerJob(
    public val gate: DispatchGate,
    public val dispatch: DispatchRequest,
    public val work: GenerateRequest,
) : KeyedWork {
    private val phase = AtomicReference(Phase.WAITING)

    @Volatile
    private var stop: (() -> Unit)? = null

    /** Why the job was ended from outside, if it was. */
    @Volatile
    public var ended: Refusal? = null
        private set

    /** To be called before the first byte may leave; false when the job was refused meanwhile. */
    public fun beginRunning(): Boolean =
        phase.compareAndSet(Phase.WAITING, Phase.RUNNING) || phase.get() == Phase.RUNNING

    /** Lets [action] run when the job is ended from outside, at once when it was already. */
    public fun onEnd(action: () -> Unit) {
        stop = action
        if (ended != null) action()
    }

    override fun onWithdrawn() {
        if (phase.compareAndSet(Phase.WAITING, Phase.ENDED)) end(WITHDRAWN)
    }

    override fun onCut() {
        onWithdrawn()
        if (phase.compareAndSet(Phase.RUNNING, Phase.ENDED)) end(CUT)
    }

    private fun end(refusal: Refusal) {
        ended = refusal
        stop?.invoke()
    }

    private enum class Phase { WAITING, RUNNING, ENDED }

    private companion object {
        val WITHDRAWN =
            Refusal.NotRun(
                NotRunReason.INVALID_KEY,
                "The key was withdrawn while the request waited; use a valid key.",
            )
        val CUT = Refusal.OutcomeUnknown("The key was withdrawn and the answer cut; use a valid key.")
    }
}
