package org.persimmonrelay.backend

/** Moving average of the prompts of a service's requests, by which light requests are told from heavy ones. */
internal class RequestSizes {
    private var meanTokens = 0.0

    /**
     * True if [request] takes so little of the service's capacity that refusing it would help no other request. Adds
     * the request to the average.
     */
    fun isLight(request: RequestProfile): Boolean {
        val tokens = request.promptTokens + OUTPUT_WEIGHT * request.outputTokens
        meanTokens += (tokens - meanTokens) * GAIN
        return request.hasPrompt && tokens < meanTokens * LIGHT_SHARE
    }

    private companion object {
        const val GAIN = 0.01

        /** An output token takes as long as this many prompt tokens. */
        const val OUTPUT_WEIGHT = 10
        const val LIGHT_SHARE = 0.3
    }
}
