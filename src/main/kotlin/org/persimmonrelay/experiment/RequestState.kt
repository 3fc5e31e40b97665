package org.persimmonrelay.experiment

/** How a request ended. ABORTED: given up after it may have run; OPEN: not ended yet. */
internal enum class RequestEnd { OPEN, DONE, REFUSED, ABORTED }

/** State of one request in a run. Times are in seconds since the start of the run, NaN before they are known. */
internal class RequestState(val request: TraceRequest, val node: Int) {
    var attempt = 0
    var mayHaveRun = false
    var deliveredTokens = 0
    var firstTokenAt = Double.NaN
    var lastTokenAt = Double.NaN
    var endedAt = Double.NaN
    var end = RequestEnd.OPEN
    var refusedAfterRun = false
    var servers: Pair<String, String>? = null
    var job: EngineJob? = null

    val timeToFirstTokenSeconds: Double
        get() = firstTokenAt - request.at

    /** Mean inter-token latency in seconds; 0 with fewer than two tokens. */
    val meanInterTokenSeconds: Double
        get() = if (deliveredTokens < 2) 0.0 else (lastTokenAt - firstTokenAt) / (deliveredTokens - 1)

    /** True if the response completed within the latency bounds of [deployment]. */
    fun isGood(deployment: DeploymentSpec): Boolean = end == RequestEnd.DONE &&
        timeToFirstTokenSeconds <= deployment.maxFirstTokenSeconds &&
        meanInterTokenSeconds <= deployment.maxInterTokenSeconds
}
