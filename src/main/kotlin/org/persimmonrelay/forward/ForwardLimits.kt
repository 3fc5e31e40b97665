package org.persimmonrelay.forward

import org.persimmonrelay.backend.RetryBudgetPolicy
import org.persimmonrelay.identity.ServerId
import kotlin.time.Duration

/** Bounds that change while the node runs. */
public interface ForwardLimits {
    /** What all nodes together may send again. */
    public fun retryRule(): RetryBudgetPolicy

    /** How long keys are accepted without word from the store; null for as long as the node runs. */
    public fun maxKeyStaleness(): Duration?

    /** True when this node is one of the [maxPollers] nodes that may wait for reports of [server]. */
    public fun mayPollReports(server: ServerId, maxPollers: Int): Boolean

    /** Nodes that share the budget and the servers' connections. */
    public fun nodeCount(): Int
}
