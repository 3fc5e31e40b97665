package org.persimmonrelay.fleet

import org.persimmonrelay.identity.ServerId

/** Drains backend servers before planned changes. */
public interface ServerDrainer {
    /**
     * Stops new work for [server] on all nodes. Returns true once the engine reports that it is idle or the drain has
     * timed out, and false when the drain could not be announced to the other nodes.
     */
    public suspend fun drain(server: ServerId): Boolean

    /** Allows new work for [server] again. */
    public suspend fun readmit(server: ServerId)
}
