package org.persimmonrelay.entry

/** A request that waits or runs under a key. Calls may repeat. */
public interface KeyedWork {
    /** The key was withdrawn: refuse the request when it still waits. */
    public fun onWithdrawn()

    /** The request must end now. */
    public fun onCut()
}
