package org.persimmonrelay.once

import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId

/** Says whether the process that claimed a call is known to be running, from membership. */
public fun interface ClaimerLiveness {
    /** True only while the very [incarnation] of [node] is believed alive. */
    public fun isAlive(node: NodeId, incarnation: Incarnation): Boolean
}
