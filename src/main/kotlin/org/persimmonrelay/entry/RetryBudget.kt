package org.persimmonrelay.entry

/** Bounds retries to a share of the requests, so that they can't multiply an overload. Thread-safe. */
public class RetryBudget(private val share: Double = DEFAULT_SHARE, private val reserve: Double = DEFAULT_RESERVE) {
    private var tokens = reserve

    /** Notes a request; it earns the budget a part of a retry. */
    @Synchronized
    public fun earn() {
        tokens = minOf(tokens + share, reserve)
    }

    /** True when a retry is allowed, which then counts. */
    @Synchronized
    public fun take(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        const val DEFAULT_SHARE = 0.2
        const val DEFAULT_RESERVE = 100.0
    }
}
