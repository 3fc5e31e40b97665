package org.persimmonrelay.once

import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId

/** Tells from membership whether the process that claimed a call is alive. */
public fun interface ClaimerLiveness {
    /** True only while membership has [node] alive in this same [incarnation]. */
    public fun isAlive(node: NodeId, incarnation: Incarnation): Boolean
}
