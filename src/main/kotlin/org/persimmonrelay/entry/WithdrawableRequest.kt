package org.persimmonrelay.entry

/** A waiting or running request that depends on a key. Its functions may be called repeatedly. */
public interface WithdrawableRequest {
    /** The key was withdrawn: refuses the request if it is still waiting. */
    public fun onKeyWithdrawn()

    /** Ends the request immediately, even if it is running. */
    public fun cancel()
}
