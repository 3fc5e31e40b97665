package org.persimmonrelay.lease

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId

/** Work that at most one node may do at a time. Each duty has its own lease. */
@Serializable
@JvmInline
public value class Duty(public val name: String) {
    override fun toString(): String = name

    public companion object {
        /** Sending orders to the engines in [domain], and to the platform about its servers. */
        public fun fleet(domain: FailureDomain): Duty = Duty("fleet-${domain.value}")

        /** Closing and reporting the usage windows of [shard]. */
        public fun usage(shard: Int): Duty = Duty("usage-$shard")

        /** Removing expired rows. */
        public val SWEEP: Duty = Duty("sweep")
    }
}

/** The holder of a lease: a node in one incarnation, that is between two restarts. */
@Serializable
public data class HolderId(val node: NodeId, val incarnation: Incarnation) {
    override fun toString(): String = "$node/$incarnation"
}
