package org.persimmonrelay.experiment.laws

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** Remembers when nodes, their ways to the stores and their links were last disturbed. */
internal class Disturbances(nodes: Int) {
    private val node = List(nodes) { Spans() }
    private val store = List(nodes) { Spans() }
    private val link = List(nodes) { List(nodes) { Spans() } }

    fun disturbNode(place: Int, from: Moment, duration: Duration) = node[place].add(from, from + duration)

    fun disturbStore(place: Int, from: Moment, duration: Duration) = store[place].add(from, from + duration)

    fun disturbLink(one: Int, other: Int, from: Moment, duration: Duration) {
        link[one][other].add(from, from + duration)
        link[other][one].add(from, from + duration)
    }

    /** True when the node at [place] was disturbed after [since]. */
    fun node(place: Int, since: Moment): Boolean = node[place].touches(since, END)

    /** True when the way of the node at [place] to the stores was disturbed after [since]. */
    fun store(place: Int, since: Moment): Boolean = store[place].touches(since, END)

    /** True when the link was disturbed between [since] and [until]. */
    fun link(one: Int, other: Int, since: Moment, until: Moment): Boolean = link[one][other].touches(since, until)

    private class Spans {
        private val spans = mutableListOf<Pair<Moment, Moment>>()

        fun add(from: Moment, until: Moment) {
            spans += from to until
        }

        fun touches(since: Moment, until: Moment): Boolean = spans.any { it.first <= until && it.second >= since }
    }

    private companion object {
        val END = Moment(Long.MAX_VALUE)
    }
}
