package org.persimmonrelay.membership

import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress

/** What this node believes of a member. */
@Serializable
public enum class MemberState { ALIVE, SUSPECT, LEAVING, LEFT, FAILED }

/** One node of the system. */
@Serializable
public data class Member(
    val address: PeerAddress,
    val domain: FailureDomain,
    val region: Region,
    val state: MemberState,
)

/** The members that this node knows, itself included. */
public data class MembershipView(val self: Member, val members: List<Member>)

/** Who takes part in the system, as seen from this node. */
public interface Membership {
    public val view: StateFlow<MembershipView>

    /** Tells the others that this node leaves on purpose. */
    public suspend fun leave()
}
