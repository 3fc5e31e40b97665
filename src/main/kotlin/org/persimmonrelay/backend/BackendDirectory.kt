package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.route.ServiceId
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Immutable snapshot of the servers that may get new requests, by service. */
public class BackendView(public val servers: List<BackendServer>) {
    private val byService = servers.groupBy { it.service }
    private val instances = servers.mapTo(HashSet()) { it.instance }

    /** Services that have servers. */
    public val services: Set<ServiceId>
        get() = byService.keys

    public fun of(service: ServiceId): List<BackendServer> = byService[service].orEmpty()

    /** True while [instance] may get new requests. */
    public operator fun contains(instance: ServerInstance): Boolean = instance in instances

    public companion object {
        public val EMPTY: BackendView = BackendView(emptyList())
    }
}

/**
 * Maintains the list of backend servers. The control thread follows the store. The traffic thread reads [view] and
 * tells which servers have said that they leave.
 *
 * An entry that disappears while the store is unavailable may have lapsed only because its server could not renew it.
 * Such a server stays in use until [LAPSE_GRACE] after the store has recovered. The same holds for an entry that a
 * store restored from an older copy has lost; and an entry that it has again does not bring back a server that has
 * left. No entry brings back a run of a server that has said in a response that it leaves.
 */
public class BackendDirectory(private val events: EventSink) {
    private val listed = HashMap<ServerId, BackendServer>()
    private val lapsed = HashMap<ServerId, Lapsed>()
    private val outdated = HashMap<ServerId, BackendServer>()
    private val departed = DepartedServers()
    private var storeRecoveredAt: Moment? = null

    /** A server whose entry may have lapsed. It is dropped at [until] unless it is listed again. */
    private data class Lapsed(val server: BackendServer, val until: Moment)

    @Volatile
    public var view: BackendView = BackendView.EMPTY
        private set

    /** True once a complete list has been read from the store. */
    @Volatile
    public var isLoaded: Boolean = false
        private set

    /** The store is available again since [now], after an outage long enough for entries to lapse. */
    @Synchronized
    public fun storeRecovered(now: Moment) {
        storeRecoveredAt = now
        lapsed.replaceAll { _, entry -> entry.copy(until = now + LAPSE_GRACE) }
    }

    /** The list read at [now] is the first since the store was restored from an older copy. */
    @Synchronized
    public fun storeRestored(now: Moment) {
        departed.storeRestored(now)
        storeRecovered(now)
    }

    /** Replaces the list by [servers], the complete result of one read of the store. */
    @Synchronized
    public fun replaceAll(servers: List<BackendServer>, storeUnavailable: Boolean, now: Moment) {
        val present = servers.associateBy { it.instance.id }
        listed.keys.filter { it !in present }.forEach { dropEntry(it, storeUnavailable, now) }
        val (old, current) = servers.partition { departed.mayBeGone(it.instance, now) }
        outdated.clear()
        old.associateByTo(outdated) { it.instance.id }
        current.forEach(::put)
        isLoaded = true
        publish()
    }

    /** The entry of [server] was written to the store. */
    @Synchronized
    public fun changed(server: BackendServer) {
        put(server)
        publish()
    }

    /** The entry of [id] was removed or is no longer valid. */
    @Synchronized
    public fun removed(id: ServerId, storeUnavailable: Boolean, now: Moment) {
        dropEntry(id, storeUnavailable, now)
        publish()
    }

    /**
     * Drops lapsed servers that were not listed again in time, and uses servers that are listed long after they seemed
     * to have gone; does nothing while the store is unavailable.
     */
    @Synchronized
    public fun expireLapsed(storeUnavailable: Boolean, now: Moment) {
        if (storeUnavailable) return
        outdated.values.filterNot { departed.mayBeGone(it.instance, now) }.forEach(::changed)
        val gone = lapsed.filterValues { now >= it.until }.keys.toList()
        if (gone.isEmpty()) return
        gone.forEach { events.record(BackendEvent.SERVER_GONE, "server" with it, "lapsed" with true) }
        lapsed.keys.removeAll(gone.toSet())
        publish()
    }

    /**
     * [instance] has said in a response that it leaves, so it gets no new requests. True if that was not known before.
     * May be called on any thread.
     */
    @Synchronized
    public fun leavingHeard(instance: ServerInstance): Boolean {
        if (departed.isDraining(instance)) return false
        departed.recordDraining(instance)
        events.record(
            BackendEvent.SERVER_LEAVING_HEARD,
            "server" with instance.id,
            "started" with instance.startedAtMillis,
            "listed" with (listed[instance.id]?.instance == instance),
        )
        publish()
        return true
    }

    private fun put(server: BackendServer) {
        lapsed.remove(server.instance.id)
        outdated.remove(server.instance.id)
        departed.recordListed(server.instance)
        if (server.isDraining) departed.recordDraining(server.instance)
        val before = listed.put(server.instance.id, server)
        if (before == server) return
        events.record(
            BackendEvent.SERVER_LISTED,
            "server" with server.instance.id,
            "started" with server.instance.startedAtMillis,
            "service" with server.service,
            "address" with server.address,
            "domain" with server.domain,
            "leaving" with server.isDraining,
            "stage" with server.stage,
            "cheap" with server.isSpot,
        )
    }

    private fun dropEntry(id: ServerId, storeUnavailable: Boolean, now: Moment) {
        outdated.remove(id)
        val server = listed.remove(id) ?: return
        val recentlyRecovered = storeRecoveredAt?.let { now - it < LAPSE_GRACE } ?: false
        val mayHaveLapsed = (storeUnavailable || recentlyRecovered) && !departed.isDraining(server.instance)
        if (!mayHaveLapsed) departed.recordGone(server.instance)
        if (mayHaveLapsed) lapsed[id] = Lapsed(server, (storeRecoveredAt ?: now) + LAPSE_GRACE)
        events.record(BackendEvent.SERVER_GONE, "server" with id, "lapsed" with mayHaveLapsed)
    }

    private fun publish() {
        val present = listed.values + lapsed.values.map { it.server }
        view = BackendView(present.filterNot { departed.isDraining(it.instance) })
    }

    private companion object {
        /** Running servers that reach the store renew their entries within two seconds of its recovery. */
        val LAPSE_GRACE: Duration = 2_000.milliseconds
    }
}
