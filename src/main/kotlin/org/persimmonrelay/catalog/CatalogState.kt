package org.persimmonrelay.catalog

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * The current configuration of this node. Versions are adopted in ascending order, whatever the order in which
 * results of polls, pushes and responses of peers arrive. Thread-safe.
 */
public class CatalogState(private val events: EventSink) : CatalogSource {
    private val published = MutableStateFlow(DefaultCatalogView.EMPTY)
    private val recent = ArrayDeque<Delta>()

    override val view: StateFlow<DefaultCatalogView> = published.asStateFlow()

    /** The newest view. */
    public val current: DefaultCatalogView
        get() = published.value

    /** Adopts those [deltas] that follow the current version without a gap. Returns the new current version. */
    @Synchronized
    public fun adopt(deltas: List<Delta>): Long {
        deltas.sortedBy { it.version }.forEach(::adopt)
        return current.version
    }

    /** Adopts [snapshot] if it is newer than the current version. Returns the new current version. */
    @Synchronized
    public fun adopt(snapshot: Snapshot): Long {
        if (snapshot.version <= current.version) return current.version
        recent.clear()
        publish(DefaultCatalogView.of(snapshot.version, snapshot.objects))
        return current.version
    }

    /** The deltas after [version] up to the current one; null when some of them are no longer in memory. */
    @Synchronized
    public fun deltasAfter(version: Long): List<Delta>? {
        if (version >= current.version) return emptyList()
        val oldest = recent.firstOrNull()?.version ?: return null
        return if (oldest <= version + 1) recent.filter { it.version > version } else null
    }

    private fun adopt(delta: Delta) {
        if (delta.version != current.version + 1) return
        recent += delta
        if (recent.size > MAX_RECENT_DELTAS) recent.removeFirst()
        publish(current.with(delta.changes))
        delta.changes.filterIsInstance<CatalogChange.Put>().map { it.value }.filterIsInstance<ApiKey>()
            .filter { it.withdrawn }
            .forEach { events.record(CatalogEvent.KEY_WITHDRAWN, "key" with it.name, "version" with delta.version) }
    }

    private fun publish(view: DefaultCatalogView) {
        published.value = view
        events.record(CatalogEvent.VERSION_ADOPTED, "version" with view.version)
    }

    private companion object {
        /** Deltas retained for peers that missed some; more than two hours' worth at 2,700 changes a day. */
        const val MAX_RECENT_DELTAS = 256
    }
}
