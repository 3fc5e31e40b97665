/*
 * Generates request traces from a seed. The ratio of two request classes varies over time, so that the prompt share
 * of the work follows a given curve while the work per second is unaffected. Arrivals are a Poisson process.
 */
package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/**
 * A class of requests. Token counts are means of log-normal distributions with shape [sigma]. [sharedTokens] of the
 * prompt are a document at its start; with probability [reuse] it is one that the workspace used in the last minute.
 */
internal data class RequestClass(
    val promptTokens: Int,
    val sharedTokens: Int,
    val outputTokens: Int,
    val reuse: Double,
    val sigma: Double = 0.35,
) {
    fun work(profile: EngineProfile): Double = profile.cost(promptTokens, outputTokens)

    fun promptShare(profile: EngineProfile): Double = promptTokens * profile.prefillCost / work(profile)
}

/** Input of the generator. [load] is the work per second as a share of all engines' capacity, without any caching. */
internal class TraceSpec(
    val deployment: DeploymentSpec,
    val seconds: Double,
    val load: Double,
    val promptHeavy: RequestClass,
    val outputHeavy: RequestClass,
    val regionWeights: List<Double>,
    val workspaceWeights: List<Double>,
    val promptShareAt: (Double) -> Double,
    val loadFactorAt: (Double) -> Double = { 1.0 },
)

internal class TraceGenerator(private val profile: EngineProfile, seed: Long) {
    private class Document(val id: Long, val tokens: Int, val usedAt: Double)

    private val random = Random(seed)
    private val gaussians = random.asJavaRandom()
    private val documents = HashMap<Int, ArrayDeque<Document>>()
    private val seenBlocks = HashSet<Long>()
    private var nextDocument = 1L
    private var nextUniqueBlock = 1L

    fun generate(spec: TraceSpec): Trace {
        val requests = ArrayList<TraceRequest>()
        var second = 0
        while (second < spec.seconds) {
            val rates = rates(spec, second.toDouble())
            val arrivals =
                drawArrivals(rates.first, spec.promptHeavy, second) +
                    drawArrivals(rates.second, spec.outputHeavy, second)
            arrivals.sortedBy { it.first }.forEach { (at, kind) -> requests += request(requests.size, at, kind, spec) }
            second++
        }
        return Trace(spec.deployment, spec.seconds, spec.workspaceWeights.size, requests)
    }

    /** Requests per second of the prompt-heavy and of the output-heavy class. */
    private fun rates(spec: TraceSpec, at: Double): Pair<Double, Double> {
        val high = spec.promptHeavy.promptShare(profile)
        val low = spec.outputHeavy.promptShare(profile)
        val promptHeavyShare = ((spec.promptShareAt(at) - low) / (high - low)).coerceIn(0.0, 1.0)
        val work = spec.load * spec.deployment.servers * spec.loadFactorAt(at)
        return work * promptHeavyShare / spec.promptHeavy.work(profile) to
            work * (1 - promptHeavyShare) / spec.outputHeavy.work(profile)
    }

    private fun drawArrivals(rate: Double, kind: RequestClass, second: Int): List<Pair<Double, RequestClass>> =
        List(poisson(rate)) { second + random.nextDouble() to kind }

    private fun request(number: Int, at: Double, kind: RequestClass, spec: TraceSpec): TraceRequest {
        val workspace = pickWeighted(spec.workspaceWeights)
        val output = minOf(logNormal(kind.outputTokens, kind.sigma), kind.outputTokens * OUTPUT_LIMIT_FACTOR)
        val document = document(workspace, at, kind)
        val uniqueTokens = logNormal(kind.promptTokens - kind.sharedTokens, kind.sigma)
        val prompt = document.tokens + uniqueTokens
        val blocks = blocks(document, prompt)
        val reusableTokens = blocks.takeWhile { it in seenBlocks }.size * profile.blockTokens
        blocks.forEach { seenBlocks += it }
        return TraceRequest(
            number = number,
            at = at,
            region = pickWeighted(spec.regionWeights),
            workspace = workspace,
            promptTokens = prompt,
            outputTokens = output,
            maxOutputTokens = kind.outputTokens * OUTPUT_LIMIT_FACTOR,
            prefixBlocks = blocks,
            reusableTokens = minOf(reusableTokens, prompt - 1),
        )
    }

    private fun document(workspace: Int, at: Double, kind: RequestClass): Document {
        val recent = documents.getOrPut(workspace) { ArrayDeque() }
        while (recent.isNotEmpty() && recent.first().usedAt < at - REUSE_WINDOW_SECONDS) recent.removeFirst()
        if (recent.isNotEmpty() && random.nextDouble() < kind.reuse) {
            val reused = recent[random.nextInt(recent.size)]
            recent.addLast(Document(reused.id, reused.tokens, at))
            return reused
        }
        val created = Document(nextDocument++, logNormal(kind.sharedTokens, kind.sigma), at)
        recent.addLast(created)
        return created
    }

    private fun blocks(document: Document, prompt: Int): LongArray {
        val shared = document.tokens / profile.blockTokens
        return LongArray(prompt / profile.blockTokens) { index ->
            if (index < shared) -(document.id * MAX_BLOCKS_PER_DOCUMENT + index) else nextUniqueBlock++
        }
    }

    private fun pickWeighted(weights: List<Double>): Int {
        var remaining = random.nextDouble() * weights.sum()
        weights.forEachIndexed { index, weight ->
            remaining -= weight
            if (remaining < 0) return index
        }
        return weights.size - 1
    }

    private fun logNormal(mean: Int, sigma: Double): Int =
        maxOf(2, (mean * exp(sigma * gaussians.nextGaussian() - sigma * sigma / 2)).toInt())

    private fun poisson(mean: Double): Int {
        var count = 0
        var remaining = mean
        while (true) {
            remaining += ln(1 - random.nextDouble())
            if (remaining < 0) return count
            count++
        }
    }

    private companion object {
        /** The output limit of a request is this multiple of its class's mean output. */
        const val OUTPUT_LIMIT_FACTOR = 4
        const val REUSE_WINDOW_SECONDS = 60.0
        const val MAX_BLOCKS_PER_DOCUMENT = 10_000
    }
}
