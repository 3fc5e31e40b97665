package org.persimmonrelay.experiment.laws

import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.PredecessorEvidence
import org.persimmonrelay.lease.StepDownRequest
import kotlin.time.Duration.Companion.seconds

/**
 * Evidence that [requester] gets over the network: the holder confirms that it has stepped down, or its node runs as
 * a new incarnation. No response counts as no evidence.
 */
internal class VirtualEvidence(
    private val world: VirtualWorld,
    private val requester: VirtualProcess,
    private val leases: Array<LeaseManager?>,
) : PredecessorEvidence {
    override suspend fun hasStopped(duty: Duty, epoch: Long, holder: HolderId): Boolean {
        val index = holder.node.value.removePrefix("node-").toInt()
        val target = world.running[index]
        val stopped = world.network.call(requester, Target.PEER, TIMEOUT) {
            when {
                !target.isRunning -> null
                target.name != holder.incarnation.value -> true
                else -> leases[index]?.stepDown(StepDownRequest(duty, epoch, holder))?.stopped
            }
        }
        return stopped == true
    }

    private companion object {
        val TIMEOUT = 1.seconds
    }
}
