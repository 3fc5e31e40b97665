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

/** An in-memory host list; [lagging] freezes what it shows. */
public class StandInHostList(public val faults: Faults = Faults()) : HostList {
    private val truth = LinkedHashMap<ServerId, Host>()
    private var shown: List<Host> = emptyList()

    /** While true, changes are kept back. */
    public var lagging: Boolean = false
        set(value) {
            field = value
            show()
        }

    /** Adds or replaces a host. */
    public fun put(host: Host) {
        synchronized(truth) { truth[host.server] = host }
        show()
    }

    /** Removes a host. */
    public fun remove(server: ServerId) {
        synchronized(truth) { truth.remove(server) }
        show()
    }

    override suspend fun hosts(): Either<StoreUnavailable, List<Host>> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The host list is down; try again later.").left()
        return synchronized(truth) { shown }.right()
    }

    private fun show() = synchronized(truth) {
        if (!lagging) shown = truth.values.toList()
    }
}
