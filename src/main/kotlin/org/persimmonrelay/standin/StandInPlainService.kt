package org.persimmonrelay.standin

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration

/** One request to a stand-in plain service. [headers] have the form `Name: value`. */
public data class ReceivedServiceRequest(
    val method: String,
    val target: String,
    val headers: List<String>,
    val body: String,
)

/** Response of a stand-in plain service. */
public data class PlainResponse(val status: Int, val body: String)

/** Tells the server to close the connection without a response. */
public class AnswerLost : IOException("The response was lost.")

/** A plain service that accepts and records every request. Thread-safe. */
public class StandInPlainService(public val name: String, public val faults: Faults = Faults()) {
    private val executed = CopyOnWriteArrayList<ReceivedServiceRequest>()

    /** While true, requests are executed but get no response. */
    @Volatile
    public var neverResponds: Boolean = false

    /** Every request executed since the service was created, in order. */
    public val executions: List<ReceivedServiceRequest> get() = executed.toList()

    /** Executes [request]. Throws [AnswerLost] when [faults] require the response to be lost. */
    public suspend fun run(request: ReceivedServiceRequest): PlainResponse {
        if (faults.down) return PlainResponse(SERVICE_UNAVAILABLE, "The service is down.")
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        executed += request
        if (neverResponds) awaitCancellation()
        if (faults.takeLostResponse()) throw AnswerLost()
        return PlainResponse(OK, "$name: ${request.method} ${request.target} no. ${executed.size}: ${request.body}")
    }

    private companion object {
        const val OK = 200
        const val SERVICE_UNAVAILABLE = 503
    }
}
