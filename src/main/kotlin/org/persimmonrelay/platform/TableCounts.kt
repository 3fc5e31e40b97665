package org.persimmonrelay.platform

import java.util.concurrent.atomic.LongAdder

/** Counters of a node's calls to the table service since the node's start, for metrics. Thread-safe. */
public class TableCounts {
    /** Rows requested, including those that conditions refer to. */
    public val reads: LongAdder = LongAdder()

    /** Rows written or removed. */
    public val writes: LongAdder = LongAdder()

    /** Transactions sent, including retries. */
    public val commits: LongAdder = LongAdder()

    /** Transactions whose response was lost and whose outcome a read or a retry then determined. */
    public val settled: LongAdder = LongAdder()

    /** Transactions whose outcome remained unknown. */
    public val unknown: LongAdder = LongAdder()

    /** Calls that failed or timed out. */
    public val failures: LongAdder = LongAdder()

    /** Calls refused by the circuit breaker. */
    public val refusedByBreaker: LongAdder = LongAdder()

    /** Calls refused because the node had reached its rate limit. */
    public val refusedByBudget: LongAdder = LongAdder()
}
