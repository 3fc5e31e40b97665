package org.persimmonrelay.membership

import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress

/** State of a member as seen by this node. */
@Serializable
public enum class MemberState {
    ALIVE,

    /** Did not answer probes; still gets work until it is declared failed. */
    SUSPECT,

    /** Is shutting down: finishes its work and takes no new work. */
    LEAVING,
    FAILED,
    LEFT,
    ;

    /** True for members that can be called. */
    public val isPresent: Boolean get() = this == ALIVE || this == SUSPECT || this == LEAVING

    /** True for members that may be given new work and cluster-wide duties. */
    public val isServing: Boolean get() = this == ALIVE || this == SUSPECT
}

/** One relay node as seen by another. */
@Serializable
public data class Member(
    val address: PeerAddress,
    val domain: FailureDomain,
    val region: Region,
    val state: MemberState,
)

/** The members that this node knows, including [self]. */
public data class MembershipView(val self: Member, val members: List<Member>) {
    /** Members that may be given new work and cluster-wide duties; includes this node unless it is leaving. */
    public val serving: List<Member> get() = members.filter { it.state.isServing }

    /** Members that can be called, without this node. */
    public val peers: List<Member>
        get() = members.filter { it.state.isPresent && it.address.node != self.address.node }
}

/** The relay nodes that are members of the system, as seen by this node. */
public interface Membership {
    public val view: StateFlow<MembershipView>

    /** Announces to the other members that this node is shutting down. */
    public suspend fun leave()
}
