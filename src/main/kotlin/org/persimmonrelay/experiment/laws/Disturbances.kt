package org.persimmonrelay.experiment.laws

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** Records when faults affected nodes, their connections to the stores and the links between them. */
internal class Disturbances(nodes: Int) {
    private val node = List(nodes) { Intervals() }
    private val store = List(nodes) { Intervals() }
    private val link = List(nodes) { List(nodes) { Intervals() } }

    fun disturbNode(index: Int, from: Moment, duration: Duration) = node[index].add(from, from + duration)

    fun disturbStore(index: Int, from: Moment, duration: Duration) = store[index].add(from, from + duration)

    fun disturbLink(one: Int, other: Int, from: Moment, duration: Duration) {
        link[one][other].add(from, from + duration)
        link[other][one].add(from, from + duration)
    }

    /** True when a fault affected node [index] at or after [since]. */
    fun node(index: Int, since: Moment): Boolean = node[index].overlaps(since, FOREVER)

    /** True when a fault affected the connection of node [index] to the stores at or after [since]. */
    fun store(index: Int, since: Moment): Boolean = store[index].overlaps(since, FOREVER)

    /** True when a fault affected the link between [one] and [other] between [since] and [until]. */
    fun link(one: Int, other: Int, since: Moment, until: Moment): Boolean = link[one][other].overlaps(since, until)

    private class Intervals {
        private val entries = mutableListOf<Pair<Moment, Moment>>()

        fun add(from: Moment, until: Moment) {
            entries += from to until
        }

        fun overlaps(since: Moment, until: Moment): Boolean = entries.any { it.first <= until && it.second >= since }
    }

    private companion object {
        val FOREVER = Moment(Long.MAX_VALUE)
    }
}
