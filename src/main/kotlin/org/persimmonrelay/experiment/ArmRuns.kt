package org.persimmonrelay.experiment

import org.HdrHistogram.DoubleHistogram

/** Metrics of one arm, aggregated over its runs (one run per deployment). */
internal class ArmRuns(val results: List<ServingResult>) {
    private val seconds = results.maxOf { it.trace.seconds }

    val goodResponses: Int = results.sumOf { result -> result.states.count { it.isGood(result.trace.deployment) } }

    val goodput: Double = goodResponses / seconds

    fun report(): ArmReport {
        val states = results.flatMap { it.states }
        val serverHours = results.sumOf { it.serverSeconds } / SECONDS_PER_HOUR
        val spotHours = results.sumOf { it.spotSeconds } / SECONDS_PER_HOUR
        return ArmReport(
            goodput = goodput,
            worstWorkspace = goodShareByWorkspace().minOf { it.value },
            firstTokenP95Seconds = p95(states.filterNot { it.firstTokenAt.isNaN() }.map { it.timeToFirstTokenSeconds }),
            interTokenP95Seconds = p95(states.filter { it.end == RequestEnd.DONE }.map { it.meanInterTokenSeconds }),
            roleChanges = results.sumOf { it.changes.size },
            serverHours = serverHours,
            costPerGoodput = cost(serverHours, spotHours, goodResponses),
            spotShare = spotHours / serverHours,
            refused = states.count { it.end == RequestEnd.REFUSED },
            refusedAfterRun = states.count { it.refusedAfterRun },
            cut = states.count { it.end == RequestEnd.ABORTED || it.end == RequestEnd.OPEN },
        )
    }

    /** Share of good responses, see [RequestState.isGood], among each workspace's requests. */
    fun goodShareByWorkspace(): Map<Int, Double> = results
        .flatMap { result -> result.states.map { it.request.workspace to it.isGood(result.trace.deployment) } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, flags) -> flags.count { it }.toDouble() / flags.size }

    /** Good responses per second, by arrival time in seconds. */
    fun goodputSeries(): List<ChartPoint> = ratesPerBucket(1.0 / BUCKET_SECONDS) { result, state ->
        state.isGood(result.trace.deployment)
    }

    /** Requests per second, by arrival time in seconds. */
    fun arrivalSeries(): List<ChartPoint> = ratesPerBucket(1.0 / BUCKET_SECONDS) { _, _ -> true }

    private fun ratesPerBucket(factor: Double, isCounted: (ServingResult, RequestState) -> Boolean): List<ChartPoint> {
        val buckets = IntArray((seconds / BUCKET_SECONDS).toInt() + 1)
        results.forEach { result ->
            result.states.filter {
                isCounted(result, it)
            }.forEach { buckets[(it.request.at / BUCKET_SECONDS).toInt()]++ }
        }
        return buckets.dropLast(1).mapIndexed { index, count -> ChartPoint(index * BUCKET_SECONDS, count * factor) }
    }

    internal companion object {
        const val SECONDS_PER_HOUR = 3_600.0
        const val SPOT_PRICE = 0.4
        private const val BUCKET_SECONDS = 10.0
        private const val RESPONSES_PER_COST_UNIT = 1_000.0
        private const val P95 = 95.0
        private const val SIGNIFICANT_DIGITS = 3
        private const val MIN_RECORDED_SECONDS = 0.001

        /** Cost per thousand good responses, in hours of an ordinary server. */
        fun cost(serverHours: Double, spotHours: Double, goodResponses: Int): Double =
            (serverHours - spotHours + spotHours * SPOT_PRICE) * RESPONSES_PER_COST_UNIT / maxOf(1, goodResponses)

        /** The 95th percentile of [values]; null when there are none. */
        fun p95(values: List<Double>): Double? {
            if (values.isEmpty()) return null
            val histogram = DoubleHistogram(SIGNIFICANT_DIGITS)
            values.forEach { histogram.recordValue(maxOf(it, MIN_RECORDED_SECONDS)) }
            return histogram.getValueAtPercentile(P95)
        }
    }
}
