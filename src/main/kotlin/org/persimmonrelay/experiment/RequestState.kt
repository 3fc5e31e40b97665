package org.persimmonrelay.experiment

/** How a request of a run ended. */
internal enum class RequestEnd { OPEN, DONE, REFUSED, CUT }

/** One request on its way through a run. Times are in seconds since the start. */
internal class RequestState(val request: TraceRequest, val node: Int) {
    var attempt = 0
    var everSent = false
    var delivered = 0
    var firstTokenAt = Double.NaN
    var lastTokenAt = Double.NaN
    var endedAt = Double.NaN
    var end = RequestEnd.OPEN
    var refusedAfterRun = false
    var servers: Pair<String, String>? = null
    var job: EngineJob? = null

    val firstTokenSeconds: Double
        get() = firstTokenAt - request.at

    /** Mean seconds between tokens. */
    val betweenTokens: Double
        get() = if (delivered < 2) 0.0 else (lastTokenAt - firstTokenAt) / (delivered - 1)

    /** Whole, and within the deployment's stated bounds. */
    fun isGood(deployment: DeploymentSpec): Boolean = end == RequestEnd.DONE &&
        firstTokenSeconds <= deployment.firstTokenSeconds &&
        betweenTokens <= deployment.betweenTokensSeconds
}
