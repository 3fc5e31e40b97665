package org.persimmonrelay.lease

import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.peer.PeerNetwork
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Evidence from membership: the holder confirms that it stepped down, or its node is alive in a new incarnation. */
public class MembershipEvidence(
    private val membership: Membership,
    private val peers: PeerNetwork,
    private val timeout: Duration = 1.seconds,
) : PredecessorEvidence {
    override suspend fun hasStopped(duty: Duty, epoch: Long, holder: HolderId): Boolean {
        val member = membership.view.value.members.firstOrNull { it.address.node == holder.node } ?: return false
        if (member.address.incarnation != holder.incarnation) return member.state == MemberState.ALIVE
        return confirmsStepDown(member, StepDownRequest(duty, epoch, holder))
    }

    private suspend fun confirmsStepDown(member: Member, request: StepDownRequest): Boolean =
        peers.call(member.address, STEP_DOWN, request, timeout).fold({ false }, { it.stopped })
}
