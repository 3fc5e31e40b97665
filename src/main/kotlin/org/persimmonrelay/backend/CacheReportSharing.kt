package org.persimmonrelay.backend

/**
 * Collects the changes of engines' prompt caches that this node has polled, for the nodes that do not poll these
 * engines. Confined to the traffic thread.
 */
internal class CacheReportSharing(private val statistics: ServerStatistics) {
    private val changed = LinkedHashMap<ServerInstance, LinkedHashMap<String, Int>>()

    /** The polled engine [instance] reported [parts]. */
    fun polled(instance: ServerInstance, parts: List<CachedPromptPart>) {
        val ofEngine = changed.getOrPut(instance) { LinkedHashMap() }
        parts.filter { it.tokens == 0 || it.tokens >= MIN_TOKENS }.forEach { ofEngine[it.id] = it.tokens }
    }

    /** Stops reporting engines that are not in [polledEngines]. */
    fun retain(polledEngines: Set<ServerInstance>) {
        changed.keys.retainAll(polledEngines)
    }

    /** The next reports, one for each polled engine. */
    fun next(): List<SharedCacheReport> = changed.mapNotNull { (instance, parts) -> report(instance, parts) }

    private fun report(instance: ServerInstance, parts: LinkedHashMap<String, Int>): SharedCacheReport? {
        val cache = statistics.existingLoad(instance)?.cache ?: return null
        val epoch = cache.reportedEpoch ?: return null
        val next = parts.entries.take(MAX_CHANGES).map { SharedCachePart(it.key, it.value) }
        next.forEach { parts.remove(it.id) }
        val repeated = cache.nextReported(REPEATED_PARTS).filter { it.tokens >= MIN_TOKENS }
            .map { SharedCachePart(it.id, it.tokens) }
        return SharedCacheReport(instance.id, instance.startedAtMillis, epoch, next + repeated)
    }

    private companion object {
        /** Smaller parts are prefilled about as fast as they would be found. */
        const val MIN_TOKENS = 256

        /** Keep a report with several engines within one packet of the network. */
        const val MAX_CHANGES = 24
        const val REPEATED_PARTS = 12
    }
}
