package org.persimmonrelay.catalog

import arrow.core.getOrElse
import java.util.concurrent.ConcurrentHashMap

/**
 * Which of [items] admit a workspace, decided by its labels. The answer is computed once per distinct set of
 * labels; equal answers share one list, so that 18,000 workspaces cost a handful of lists.
 */
internal class LabelGate<T>(items: List<T>, selectorOf: (T) -> String) {
    private val gated: List<Pair<Selector, T>> =
        items.mapNotNull { item -> SelectorParser.parse(selectorOf(item)).getOrElse { null }?.let { it to item } }
    private val results = ConcurrentHashMap<List<T>, List<T>>()
    private val byLabels = ConcurrentHashMap<Map<String, String>, List<T>>()

    fun admitting(labels: Map<String, String>): List<T> = byLabels.computeIfAbsent(labels) {
        val admitted = gated.filter { (selector, _) -> selector.matches(labels) }.map { it.second }
        results.putIfAbsent(admitted, admitted) ?: admitted
    }
}
