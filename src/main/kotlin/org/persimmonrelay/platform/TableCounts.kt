package org.persimmonrelay.platform

import java.util.concurrent.atomic.LongAdder

/** Counts of a node's calls to the table service since its start, for metrics. Thread-safe. */
public class TableCounts {
    /** Rows asked for, conditions included. */
    public val reads: LongAdder = LongAdder()

    /** Rows written or removed. */
    public val writes: LongAdder = LongAdder()

    /** Transactions sent, repeated ones included. */
    public val commits: LongAdder = LongAdder()

    /** Transactions whose answer was lost and that a read-back or a repeat settled. */
    public val settled: LongAdder = LongAdder()

    /** Transactions whose end stayed unknown. */
    public val unknown: LongAdder = LongAdder()

    /** Calls without an answer. */
    public val failures: LongAdder = LongAdder()

    /** Calls refused by the circuit breaker. */
    public val refusedByBreaker: LongAdder = LongAdder()

    /** Calls refused because the node's budget was used up. */
    public val refusedByBudget: LongAdder = LongAdder()
}
