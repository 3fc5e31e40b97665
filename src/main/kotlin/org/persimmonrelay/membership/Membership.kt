package org.persimmonrelay.membership

import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress

/** What this node believes of a member. */
@Serializable
public enum class MemberState {
    ALIVE,

    /** Gave no answer lately; is still counted on until it is declared failed. */
    SUSPECT,

    /** Stops on purpose: finishes its work and takes no new. */
    LEAVING,
    FAILED,
    LEFT,
    ;

    /** True for members that can be called. */
    public val isPresent: Boolean get() = this == ALIVE || this == SUSPECT || this == LEAVING

    /** True for members that may be given work and duties. */
    public val isServing: Boolean get() = this == ALIVE || this == SUSPECT
}

/** One node of the system. */
@Serializable
public data class Member(
    val address: PeerAddress,
    val domain: FailureDomain,
    val region: Region,
    val state: MemberState,
)

/** The members that this node knows, itself included. */
public data class MembershipView(val self: Member, val members: List<Member>) {
    /** Members that may be given work and duties, this node included unless it is leaving. */
    public val serving: List<Member> get() = members.filter { it.state.isServing }

    /** Members that can be called, without this node. */
    public val peers: List<Member>
        get() = members.filter { it.state.isPresent && it.address.node != self.address.node }
}

/** Who takes part in the system, as seen from this node. */
public interface Membership {
    public val view: StateFlow<MembershipView>

    /** Tells the others that this node leaves on purpose. */
    public suspend fun leave()
}
