package org.persimmonrelay.experiment.laws

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults that a schedule for the configuration laws can have. */
internal enum class ConfigFaultKind {
    /** The table service and the object store are unavailable to all nodes. */
    STORE_OUTAGE,

    /** One node cannot reach the table service and the object store. */
    STORE_CUT,

    /** Responses of the table service are lost after the write was made. */
    LOST_ANSWERS,

    /** A group of nodes is cut off from the others. */
    PARTITION,

    /** A group of nodes is cut off from the others and from the stores. */
    ISOLATION,

    /** Two nodes cannot reach each other. */
    LINK_CUT,

    /** A node is killed and restarts as a new incarnation. */
    RESTART,

    /** A node is paused. */
    PAUSE,

    /** Messages between nodes are delayed. */
    SLOW_PEERS,

    /** Some messages between nodes are delivered twice. */
    DUPLICATION,
}

/** One fault, [at] after the start. [victims] are indices of nodes; [count] is the number of lost responses. */
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

        /** Draws faults for [nodes] nodes that begin within [window]: one or two kinds, each up to four times. */
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

/** The time in which faults begin and operators make changes: it starts at [from] and lasts [length]. */
internal class FaultWindow(private val from: Duration, private val length: Duration) {
    /** Draws a time in the window, as a duration since the start of the schedule. */
    fun draw(random: Random): Duration = from + length * random.nextDouble()

    companion object {
        private val SHORT_WINDOW = 6.seconds

        /** The whole of [within] after [from], or in half of the cases a random 6 s of it. */
        fun of(random: Random, from: Duration, within: Duration): FaultWindow {
            if (random.nextBoolean()) return FaultWindow(from, within)
            return FaultWindow(from + (within - SHORT_WINDOW) * random.nextDouble(), SHORT_WINDOW)
        }
    }
}
