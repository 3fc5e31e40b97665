package org.persimmonrelay.experiment.laws

import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.PredecessorEvidence
import org.persimmonrelay.lease.StepDownRequest
import kotlin.time.Duration.Companion.seconds

/** Evidence as [asker] gets it: the holder's own word over the network, or its node running as a new incarnation. */
internal class VirtualEvidence(
    private val world: VirtualWorld,
    private val asker: VirtualProcess,
    private val leases: Array<LeaseManager?>,
) : PredecessorEvidence {
    override suspend fun hasStopped(duty: Duty, epoch: Long, holder: HolderId): Boolean {
        val place = holder.node.value.removePrefix("node-").toInt()
        val target = world.running[place]
        val answer = world.network.call(asker, Target.PEER, TIMEOUT) {
            when {
                !target.isRunning -> null
                target.name != holder.incarnation.value -> true
                else -> leases[place]?.stepDown(StepDownRequest(duty, epoch, holder))?.stopped
            }
        }
        return answer == true
    }

    private companion object {
        val TIMEOUT = 1.seconds
    }
}
