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
        private const val MAX_REPEATS = 4
        private const val MAX_COUNT = 3

        /** Faults to [nodes] nodes that begin within [window]: one or two kinds, each up to four times. */
        fun plan(random: Random, nodes: Int, window: FaultWindow): List<ConfigFault> =
            ConfigFaultKind.entries.shuffled(random).take(1 + random.nextInt(2)).flatMap { kind ->
                List(1 + random.nextInt(MAX_REPEATS)) { draw(kind, random, nodes, window.draw(random)) }
            }

        private fun draw(kind: ConfigFaultKind, random: Random, nodes: Int, at: Duration) = ConfigFault(
            kind = kind,
            at = at,
            duration = SHORTEST + (LONGEST - SHORTEST) * random.nextDouble(),
            victims = (0 until nodes).shuffled(random).take(1 + random.nextInt(nodes - 1)),
            count = 1 + random.nextInt(MAX_COUNT),
        )
    }
}

/** When faults begin and operators act: from [from] for [length]. */
internal class FaultWindow(private val from: Duration, private val length: Duration) {
    /** A moment in the window, as time since the start. */
    fun draw(random: Random): Duration = from + length * random.nextDouble()

    companion object {
        private val CROWD = 6.seconds

        /** The whole of [within] after [from], or in half of the cases a few seconds of it. */
        fun of(random: Random, from: Duration, within: Duration): FaultWindow {
            if (random.nextBoolean()) return FaultWindow(from, within)
            return FaultWindow(from + (within - CROWD) * random.nextDouble(), CROWD)
        }
    }
}
