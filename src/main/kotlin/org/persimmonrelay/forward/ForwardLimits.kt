package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.RetryBudgetPolicy
import org.persimmonrelay.identity.NodeId
import kotlin.time.Duration

/** Limits that may change while the node runs. */
public interface ForwardLimits {
    /** Retry budget of all nodes together. */
    public fun retryRule(): RetryBudgetPolicy

    /** How long keys are accepted while the store does not confirm that they are still valid; null means no limit. */
    public fun maxKeyStaleness(): Duration?

    /** True if this node is one of the [maxPollers] nodes that may poll [server] for cache reports. */
    public fun mayPollReports(server: BackendServer, maxPollers: Int): Boolean

    /** The nodes that share the limit that [server] has named for all of them, in the same order on each node. */
    public fun limitSharers(server: BackendServer): List<NodeId>

    /** Number of nodes that share the retry budget and the connections to servers. */
    public fun nodeCount(): Int
}
