package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The runs of servers that this node has seen leave. A store that was restored from an older copy lists them as they
 * were before, until they or the store write their entries again. Guarded by its [BackendDirectory].
 */
internal class DepartedServers {
    private val draining = BoundedSet()
    private val gone = BoundedSet()
    private var restoredAt: Moment? = null

    private class BoundedSet : LinkedHashMap<ServerInstance, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<ServerInstance, Unit>) = size > MAX_INSTANCES
    }

    /** Entries read at [now] may be from before the restore. */
    fun storeRestored(now: Moment) {
        restoredAt = now
    }

    /** The server has said that it leaves, in its entry or in a response. */
    fun recordDraining(instance: ServerInstance) {
        draining[instance] = Unit
    }

    /** The entry was removed while the store was available. */
    fun recordGone(instance: ServerInstance) {
        gone[instance] = Unit
    }

    /** The entry is in use again. */
    fun recordListed(instance: ServerInstance) {
        gone.remove(instance)
    }

    /** A server that drains never takes requests again, whatever an older entry says. */
    fun isDraining(instance: ServerInstance): Boolean = instance in draining

    /** True while an entry of [instance] in the whole list at [now] may be one that was removed before the restore. */
    fun mayBeGone(instance: ServerInstance, now: Moment): Boolean =
        instance in gone && restoredAt?.let { now - it < OUTDATED_ENTRY_TIMEOUT } ?: false

    private companion object {
        const val MAX_INSTANCES = 4_096

        /** After several heartbeats the store has removed the entries of servers that are gone. */
        val OUTDATED_ENTRY_TIMEOUT: Duration = 8.seconds
    }
}
