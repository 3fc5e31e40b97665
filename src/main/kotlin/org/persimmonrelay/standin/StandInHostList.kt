package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.StoreUnavailable
import kotlin.time.Duration

/** An in-memory host list; while [lagging] is true, [hosts] does not show new changes. */
public class StandInHostList(public val faults: Faults = Faults()) : HostList {
    private val current = LinkedHashMap<ServerId, Host>()
    private var published: List<Host> = emptyList()

    /** While true, changes are not published; setting it to false publishes them. */
    public var lagging: Boolean = false
        set(value) {
            field = value
            publish()
        }

    /** Adds or replaces a host. */
    public fun put(host: Host) {
        synchronized(current) { current[host.server] = host }
        publish()
    }

    /** Removes a host. */
    public fun remove(server: ServerId) {
        synchronized(current) { current.remove(server) }
        publish()
    }

    override suspend fun hosts(): Either<StoreUnavailable, List<Host>> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The host list is down; try again later.").left()
        return synchronized(current) { published }.right()
    }

    private fun publish() = synchronized(current) {
        if (!lagging) published = current.values.toList()
    }
}
