package org.persimmonrelay.entry

/** A waiting or running request that depends on a key. Its functions may be called repeatedly. */
public interface RevocableRequest {
    /** The key was revoked: refuses the request if it is still waiting. */
    public fun onKeyRevoked()

    /** Ends the request immediately, even if it is running. */
    public fun cancel()
}
