package org.persimmonrelay.experiment.laws

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What goes wrong with configuration in a schedule. */
internal enum class ConfigFaultKind {
    /** The table service and the object store answer nobody. */
    STORE_OUTAGE,

    /** One node does not reach the stores. */
    STORE_CUT,

    /** Answers of the table service vanish after the write. */
    LOST_ANSWERS,

    /** A group of nodes is cut off from the others. */
    PARTITION,

    /** A group of nodes is cut off from the others and from the stores. */
    ISOLATION,

    /** Two nodes don't reach each other. */
    LINK_CUT,

    /** A node dies and comes back as a new incarnation. */
    RESTART,

    /** A node stands still. */
    PAUSE,

    /** Messages between nodes are late. */
    SLOW_PEERS,

    /** Messages between nodes arrive twice. */
    DUPLICATION,
}

/** One fault of a schedule: [victims] are places of nodes. */
internal data class ConfigFault(
    val kind: ConfigFaultKind,
    val at: Duration,
    val duration: Duration,
    val victims: List<Int>,
    val count: Int,
) {
    companion object {
        private val LONGEST = 16.seconds
        private val SHORTEST = 200.milliseconds
        private const val MAX_FAULTS = 6
        private const val MAX_COUNT = 3

        /** Up to six faults to [nodes] nodes that begin within [within]. */
        fun plan(random: Random, nodes: Int, within: Duration): List<ConfigFault> =
            List(1 + random.nextInt(MAX_FAULTS)) { draw(random, nodes, within) }.sortedBy { it.at }

        private fun draw(random: Random, nodes: Int, within: Duration) = ConfigFault(
            kind = ConfigFaultKind.entries.random(random),
            at = within * random.nextDouble(),
            duration = SHORTEST + (LONGEST - SHORTEST) * random.nextDouble(),
            victims = (0 until nodes).shuffled(random).take(1 + random.nextInt(nodes - 1)),
            count = 1 + random.nextInt(MAX_COUNT),
        )
    }
}
