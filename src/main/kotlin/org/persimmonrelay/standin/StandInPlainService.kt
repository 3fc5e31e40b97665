package org.persimmonrelay.standin

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration

/** One call that a stand-in plain service carried out. [headers] are written as `Name: value`. */
public data class CarriedOut(val method: String, val target: String, val headers: List<String>, val body: String)

/** The answer of a stand-in plain service. */
public data class PlainAnswer(val status: Int, val body: String)

/** The connection is to break without an answer. */
public class AnswerLost : IOException("The answer was lost.")

/** A plain service that books whatever it is sent and counts how often. Thread-safe. */
public class StandInPlainService(public val name: String, public val faults: Faults = Faults()) {
    private val calls = CopyOnWriteArrayList<CarriedOut>()

    /** While true, calls are taken and never answered. */
    @Volatile
    public var neverResponds: Boolean = false

    /** Every call carried out since the start, in order. */
    public val executions: List<CarriedOut> get() = calls.toList()

    /** Carries [call] out. Fails with [AnswerLost] when the answer is to be lost. */
    public suspend fun run(call: CarriedOut): PlainAnswer {
        if (faults.down) return PlainAnswer(DOWN, "The service is down.")
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        calls += call
        if (neverResponds) awaitCancellation()
        if (faults.takeLostAnswer()) throw AnswerLost()
        return PlainAnswer(OK, "$name: ${call.method} ${call.target} no. ${calls.size}: ${call.body}")
    }

    private companion object {
        const val OK = 200
        const val DOWN = 503
    }
}
