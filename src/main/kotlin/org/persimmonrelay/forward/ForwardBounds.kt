package org.persimmonrelay.forward

import org.persimmonrelay.backend.RetryBudgetPolicy
import org.persimmonrelay.identity.ServerId
import kotlin.time.Duration

/** Bounds that change while the node runs. */
public interface ForwardBounds {
    /** What all nodes together may send again. */
    public fun retryRule(): RetryBudgetPolicy

    /** How long keys are accepted without word from the store; null for as long as the node runs. */
    public fun keyBound(): Duration?

    /** True when this node is one of the [watchers] nodes that may wait for reports of [server]. */
    public fun mayWatch(server: ServerId, watchers: Int): Boolean

    /** Nodes that share the budget and the servers' connections. */
    public fun nodes(): Int
}
