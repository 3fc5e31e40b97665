package org.persimmonrelay.fleet

import org.persimmonrelay.identity.ServerId

/** Empties backend servers before planned changes. */
public interface ServerDrainer {
    /**
     * Sends no new work to [server] from any node, and returns once the engine reports itself idle, or true as
     * well once the drain's bound has passed. False when the drain could not be announced to the other nodes.
     */
    public suspend fun drain(server: ServerId): Boolean

    /** Lets [server] take work again. */
    public suspend fun readmit(server: ServerId)
}
