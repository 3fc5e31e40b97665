package org.persimmonrelay.forward

import org.persimmonrelay.backend.RetryRule
import kotlin.time.Duration

/** Bounds that change while the node runs. */
public interface ForwardBounds {
    /** What all nodes together may send again. */
    public fun retryRule(): RetryRule

    /** How long keys are accepted without word from the store; null for as long as the node runs. */
    public fun keyBound(): Duration?

    /** Nodes that share the budget and the servers' connections. */
    public fun nodes(): Int
}
