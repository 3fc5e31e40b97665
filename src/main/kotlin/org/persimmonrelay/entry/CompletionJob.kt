package org.persimmonrelay.entry

import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.routing.DispatchRequest
import java.util.concurrent.atomic.AtomicReference

/** One caller's completion request, and whether it can still be reported as not run. Thread-safe. */
public class CompletionJob(
    public val queue: DispatchQueue,
    public val dispatch: DispatchRequest,
    public val request: GenerateRequest,
) : WithdrawableRequest {
    private val phase = AtomicReference(Phase.WAITING)

    @Volatile
    private var onEndedAction: (() -> Unit)? = null

    /** Why the job was ended by a change of its key; null if it was not. */
    @Volatile
    public var endedWith: Refusal? = null
        private set

    /** Must be called before any byte is sent to an engine; false if the job has been ended in the meantime. */
    public fun tryStart(): Boolean = phase.compareAndSet(Phase.WAITING, Phase.RUNNING) || phase.get() == Phase.RUNNING

    /** Registers [action] to run when the job is ended by a change of its key; runs it now if that has happened. */
    public fun onEnded(action: () -> Unit) {
        onEndedAction = action
        if (endedWith != null) action()
    }

    override fun onKeyWithdrawn() {
        if (phase.compareAndSet(Phase.WAITING, Phase.ENDED)) end(KEY_WITHDRAWN)
    }

    override fun cancel() {
        onKeyWithdrawn()
        if (phase.compareAndSet(Phase.RUNNING, Phase.ENDED)) end(CANCELLED)
    }

    private fun end(refusal: Refusal) {
        endedWith = refusal
        onEndedAction?.invoke()
    }

    private enum class Phase { WAITING, RUNNING, ENDED }

    private companion object {
        val KEY_WITHDRAWN =
            Refusal.NotRun(
                NotRunReason.INVALID_KEY,
                "The key was withdrawn while the request waited; use a valid key.",
            )
        val CANCELLED = Refusal.OutcomeUnknown("The key was withdrawn and the answer cut; use a valid key.")
    }
}
