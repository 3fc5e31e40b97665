/*
 * Deployment sizes and request classes of the two companies, Cascade and Trittstein. docs/MEASUREMENTS.md explains
 * the figures.
 */
package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile

internal class Workloads(private val profile: EngineProfile, private val seed: Long) {
    private val cascadeRegions = listOf("puget", "willamette", "inland")
    private val trittsteinRegions = listOf("zurich", "bern", "ticino")

    val plannerLlm = deployment("planner-llm", cascadeRegions, listOf(3, 3, 2), maxFirstTokenSeconds = 2.0)
    val yardDesk = deployment("yard-desk", cascadeRegions, listOf(1, 1, 1), maxFirstTokenSeconds = 1.0)
    val stoneLlm = deployment("stone-llm", trittsteinRegions, listOf(3, 3, 2), maxFirstTokenSeconds = 2.0)
    val yardApp = deployment("yard-app", trittsteinRegions, listOf(1, 1, 1), maxFirstTokenSeconds = 1.0)

    /** Requests of Cascade's planners and crews; [share] is the prompt share of the work at a time in seconds. */
    fun planner(
        seconds: Double,
        load: Double,
        share: (Double) -> Double,
        loadFactor: (Double) -> Double = { 1.0 },
    ): Trace = generate(plannerLlm, seconds, load, PLANNERS, CREWS, share, loadFactor)

    /** Requests of a company's second, small deployment, all of the output-heavy class. */
    fun yard(deployment: DeploymentSpec, seconds: Double): Trace =
        generate(deployment, seconds, YARD_LOAD, PLANNERS, CREWS, { 0.0 }) { 1.0 }

    /** Requests of Trittstein's field crews and office; [share] as for [planner]. */
    fun stones(seconds: Double, load: Double, share: (Double) -> Double): Trace =
        generate(stoneLlm, seconds, load, PHOTOS, TENDERS, share) { 1.0 }

    private fun generate(
        deployment: DeploymentSpec,
        seconds: Double,
        load: Double,
        promptHeavy: RequestClass,
        outputHeavy: RequestClass,
        share: (Double) -> Double,
        loadFactor: (Double) -> Double,
    ): Trace {
        val spec =
            TraceSpec(
                deployment = deployment,
                seconds = seconds,
                load = load,
                promptHeavy = promptHeavy,
                outputHeavy = outputHeavy,
                regionWeights = REGION_WEIGHTS,
                workspaceWeights = WORKSPACE_WEIGHTS,
                promptShareAt = share,
                loadFactorAt = loadFactor,
            )
        return TraceGenerator(profile, seed xor deployment.name.hashCode().toLong()).generate(spec)
    }

    private fun deployment(name: String, regions: List<String>, servers: List<Int>, maxFirstTokenSeconds: Double) =
        DeploymentSpec(
            name = name,
            domains = regions.zip(servers) { region, count -> DomainSpec("$region-a", region, count) },
            maxFirstTokenSeconds = maxFirstTokenSeconds,
            maxInterTokenSeconds = MAX_INTER_TOKEN_SECONDS,
        )

    internal companion object {
        const val MAX_INTER_TOKEN_SECONDS = 0.05

        /** Work per second in the usual busy hour, as a share of all engines' capacity, without any caching. */
        const val BUSY_LOAD = 0.75
        const val YARD_LOAD = 0.5

        /** Prompt: a planner's question with the venue's history. Output: a short draft. */
        val PLANNERS = RequestClass(promptTokens = 4_000, sharedTokens = 2_800, outputTokens = 80, reuse = 0.4)

        /** Prompt: a short message from a truck. Output: long. */
        val CREWS = RequestClass(promptTokens = 150, sharedTokens = 60, outputTokens = 400, reuse = 0.0)

        /** Prompt: photos of loose stones. Output: a method and a quote. */
        val PHOTOS = RequestClass(promptTokens = 2_400, sharedTokens = 200, outputTokens = 80, reuse = 0.2)

        /** Prompt: a tender with its standard text. Output: a long draft. */
        val TENDERS = RequestClass(promptTokens = 2_000, sharedTokens = 1_500, outputTokens = 700, reuse = 0.6)

        val REGION_WEIGHTS = listOf(0.40, 0.35, 0.25)
        val WORKSPACE_WEIGHTS = listOf(0.30, 0.25, 0.18, 0.07, 0.06, 0.05, 0.05, 0.04)
    }
}
