package org.persimmonrelay.experiment

import org.HdrHistogram.DoubleHistogram

/** Turns the runs of one arm, one per deployment, into figures. */
internal class ArmRuns(val results: List<ServingResult>) {
    private val seconds = results.maxOf { it.trace.seconds }

    val good: Int = results.sumOf { result -> result.states.count { it.isGood(result.trace.deployment) } }

    val goodput: Double = good / seconds

    fun report(): ArmReport {
        val states = results.flatMap { it.states }
        val serverHours = results.sumOf { it.serverSeconds } / SECONDS_PER_HOUR
        val cheapHours = results.sumOf { it.cheapSeconds } / SECONDS_PER_HOUR
        return ArmReport(
            goodput = goodput,
            worstWorkspace = byWorkspace().minOf { it.value },
            firstTokenP95Seconds = p95(states.filterNot { it.firstTokenAt.isNaN() }.map { it.firstTokenSeconds }),
            betweenTokensP95Seconds = p95(states.filter { it.end == RequestEnd.DONE }.map { it.betweenTokens }),
            roleChanges = results.sumOf { it.changes.size },
            serverHours = serverHours,
            costPerGoodput = cost(serverHours, cheapHours, good),
            cheapShare = cheapHours / serverHours,
            refused = states.count { it.end == RequestEnd.REFUSED },
            refusedAfterRun = states.count { it.refusedAfterRun },
            cut = states.count { it.end == RequestEnd.CUT || it.end == RequestEnd.OPEN },
        )
    }

    /** Share of each workspace's requests that were answered well. */
    fun byWorkspace(): Map<Int, Double> = results
        .flatMap { result -> result.states.map { it.request.workspace to it.isGood(result.trace.deployment) } }
        .groupBy({ it.first }, { it.second })
        .mapValues { (_, good) -> good.count { it }.toDouble() / good.size }

    /** Good answers per second by time of arrival. */
    fun line(): List<ChartPoint> = over(1.0 / BUCKET_SECONDS) { result, state -> state.isGood(result.trace.deployment) }

    /** Requests per second by time of arrival. */
    fun arrivals(): List<ChartPoint> = over(1.0 / BUCKET_SECONDS) { _, _ -> true }

    private fun over(factor: Double, counts: (ServingResult, RequestState) -> Boolean): List<ChartPoint> {
        val buckets = IntArray((seconds / BUCKET_SECONDS).toInt() + 1)
        results.forEach { result ->
            result.states.filter { counts(result, it) }.forEach { buckets[(it.request.at / BUCKET_SECONDS).toInt()]++ }
        }
        return buckets.dropLast(1).mapIndexed { index, count -> ChartPoint(index * BUCKET_SECONDS, count * factor) }
    }

    internal companion object {
        const val SECONDS_PER_HOUR = 3_600.0
        const val CHEAP_PRICE = 0.4
        private const val BUCKET_SECONDS = 10.0
        private const val ANSWERS = 1_000.0
        private const val P95 = 95.0
        private const val DIGITS = 3
        private const val LEAST_SECONDS = 0.001

        /** Hours of an ordinary server per thousand good answers. */
        fun cost(serverHours: Double, cheapHours: Double, good: Int): Double =
            (serverHours - cheapHours + cheapHours * CHEAP_PRICE) * ANSWERS / maxOf(1, good)

        fun p95(values: List<Double>): Double? {
            if (values.isEmpty()) return null
            val histogram = DoubleHistogram(DIGITS)
            values.forEach { histogram.recordValue(maxOf(it, LEAST_SECONDS)) }
            return histogram.getValueAtPercentile(P95)
        }
    }
}
