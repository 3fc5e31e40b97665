package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.route.ServiceId
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The servers that may get new requests, by service. Immutable. */
public class BackendView(public val servers: List<BackendServer>) {
    private val byService = servers.groupBy { it.service }
    private val instances = servers.mapTo(HashSet()) { it.instance }

    public fun of(service: ServiceId): List<BackendServer> = byService[service].orEmpty()

    /** True while [instance] may get new requests. */
    public operator fun contains(instance: ServerInstance): Boolean = instance in instances

    public companion object {
        public val EMPTY: BackendView = BackendView(emptyList())
    }
}

/**
 * Keeps the list of backend servers. Runs on the control thread; traffic reads [view].
 *
 * An entry that vanishes while the store is in trouble may only have lapsed, since its server could not renew it:
 * such a server stays in use until the store has been back for [LAPSE_GRACE].
 */
public class BackendDirectory(private val events: EventSink) {
    private val listed = HashMap<ServerId, BackendServer>()
    private val lapsed = HashMap<ServerId, Lapsed>()
    private var storeBackAt: Moment? = null

    /** A server whose entry may only have lapsed; it is gone unless it is listed again [until] then. */
    private data class Lapsed(val server: BackendServer, val until: Moment)

    @Volatile
    public var view: BackendView = BackendView.EMPTY
        private set

    /** True once the store has given a whole list. */
    @Volatile
    public var isLoaded: Boolean = false
        private set

    /** The store answers again since [now], after it was away for long enough to let entries lapse. */
    public fun storeRecovered(now: Moment) {
        storeBackAt = now
        lapsed.replaceAll { _, entry -> entry.copy(until = now + LAPSE_GRACE) }
    }

    /** The whole list as read by one call. */
    public fun replaceAll(servers: List<BackendServer>, storeUnavailable: Boolean, now: Moment) {
        val present = servers.associateBy { it.instance.id }
        listed.keys.filter { it !in present }.forEach { vanish(it, storeUnavailable, now) }
        servers.forEach(::put)
        isLoaded = true
        publish()
    }

    /** One entry was written. */
    public fun changed(server: BackendServer) {
        put(server)
        publish()
    }

    /** The entry of [id] was removed or names no server any more. */
    public fun removed(id: ServerId, storeUnavailable: Boolean, now: Moment) {
        vanish(id, storeUnavailable, now)
        publish()
    }

    /** Drops lapsed servers that did not come back in time. */
    public fun expireLapsed(storeUnavailable: Boolean, now: Moment) {
        if (storeUnavailable) return
        val gone = lapsed.filterValues { now >= it.until }.keys.toList()
        if (gone.isEmpty()) return
        gone.forEach { events.record(BackendEvent.SERVER_GONE, "server" with it, "lapsed" with true) }
        lapsed.keys.removeAll(gone.toSet())
        publish()
    }

    private fun put(server: BackendServer) {
        lapsed.remove(server.instance.id)
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

    private fun vanish(id: ServerId, storeUnavailable: Boolean, now: Moment) {
        val server = listed.remove(id) ?: return
        val recentlyBack = storeBackAt?.let { now - it < LAPSE_GRACE } ?: false
        val mayHaveLapsed = (storeUnavailable || recentlyBack) && !server.isDraining
        if (mayHaveLapsed) lapsed[id] = Lapsed(server, (storeBackAt ?: now) + LAPSE_GRACE)
        events.record(BackendEvent.SERVER_GONE, "server" with id, "lapsed" with mayHaveLapsed)
    }

    private fun publish() {
        view = BackendView((listed.values + lapsed.values.map { it.server }).filterNot { it.isDraining })
    }

    private companion object {
        /** Servers that live and reach the store are listed again within two seconds of its return. */
        val LAPSE_GRACE: Duration = 2_000.milliseconds
    }
}
