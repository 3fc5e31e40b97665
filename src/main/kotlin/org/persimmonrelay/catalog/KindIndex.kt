package org.persimmonrelay.catalog

import arrow.core.getOrElse
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import java.util.concurrent.ConcurrentHashMap

/** An object and the configuration version that wrote it last. */
internal data class Versioned<T : CatalogObject>(val version: Long, val value: T)

/**
 * All objects of one kind at one version. Immutable except for caches: selector results and the sorted list are
 * computed on first use. When only few objects change, they are updated for the next index instead of recomputed.
 */
internal class KindIndex<T : CatalogObject> private constructor(
    private val byName: PersistentMap<String, Versioned<T>>,
    sortedOrNull: List<T>?,
    cachedSelections: Map<String, Selection<T>>,
) {
    private val selections = ConcurrentHashMap(cachedSelections)

    /** All objects, sorted by name. */
    val sorted: List<T> by lazy { sortedOrNull ?: byName.values.map { it.value }.sortedBy { it.name } }

    val size: Int
        get() = byName.size

    operator fun get(name: String): T? = byName[name]?.value

    fun versionOf(name: String): Long? = byName[name]?.version

    fun versioned(): Collection<Versioned<T>> = byName.values

    /** Objects that [selectorText] matches, sorted by name; none if the selector is invalid. */
    fun select(selectorText: String): List<T> = selections.computeIfAbsent(selectorText, ::selectionOf).members

    private fun selectionOf(text: String): Selection<T> {
        val selector = SelectorParser.parse(text).getOrElse { return Selection(null, emptyList()) }
        if (selector.requirements.isEmpty()) return Selection(selector, sorted)
        return Selection(selector, sorted.filter { selector.matches(it.labels) })
    }

    /** The index after [puts] and [deletes], which must contain each object at most once. */
    fun with(version: Long, puts: List<T>, deletes: List<String>): KindIndex<T> {
        val removed = deletes + puts.map { it.name }
        val changed = byName.mutate { map ->
            deletes.forEach(map::remove)
            puts.forEach { map[it.name] = Versioned(version, it) }
        }
        if (puts.size + deletes.size > MAX_PATCHED_OBJECTS) return KindIndex(changed, null, emptyMap())
        val before = removed.mapNotNull { byName[it]?.value }
        val patch = IndexPatch(removed.toSet(), before, puts)
        return KindIndex(changed, patch.apply(sorted), selections.mapValues { patch.apply(it.value) })
    }

    /** The objects that a selector matches; [selector] is null when its text is invalid. */
    internal data class Selection<T : CatalogObject>(val selector: Selector?, val members: List<T>)

    companion object {
        /** When more objects change at once, cached results are dropped instead of updated. */
        private const val MAX_PATCHED_OBJECTS = 64

        fun <T : CatalogObject> empty(): KindIndex<T> = KindIndex(persistentHashMapOf(), null, emptyMap())

        fun <T : CatalogObject> of(objects: Collection<Versioned<T>>): KindIndex<T> {
            val builder = persistentHashMapOf<String, Versioned<T>>().builder()
            objects.forEach { builder[it.value.name] = it }
            return KindIndex(builder.build(), null, emptyMap())
        }
    }
}

private fun <K, V> PersistentMap<K, V>.mutate(change: (MutableMap<K, V>) -> Unit): PersistentMap<K, V> =
    builder().also(change).build()

/** Replaces the objects with the names [removed] by [puts] in lists that are sorted by name. */
internal class IndexPatch<T : CatalogObject>(
    private val removed: Set<String>,
    private val before: List<T>,
    private val puts: List<T>,
) {
    fun apply(selection: KindIndex.Selection<T>): KindIndex.Selection<T> {
        val selector = selection.selector ?: return selection
        val isAffected = (before + puts).any { selector.matches(it.labels) }
        if (!isAffected) return selection
        return selection.copy(members = replace(selection.members, puts.filter { selector.matches(it.labels) }))
    }

    fun apply(sorted: List<T>): List<T> = replace(sorted, puts)

    private fun replace(list: List<T>, added: List<T>): List<T> {
        val result = ArrayList<T>(list.size + added.size)
        result.addAll(list)
        removed.forEach { name -> result.searchByName(name).takeIf { it >= 0 }?.let(result::removeAt) }
        added.forEach { result.add(-result.searchByName(it.name) - 1, it) }
        return result
    }

    private fun List<T>.searchByName(name: String): Int = binarySearchBy(name) { it.name }
}
