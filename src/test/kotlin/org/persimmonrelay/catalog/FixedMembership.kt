package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.flow.MutableStateFlow
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.membership.MembershipView
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerFailure
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.peer.PeerNetwork
import kotlin.time.Duration

/** A membership of the nodes [names], seen from the first one. All nodes count as alive. */
class FixedMembership(vararg names: String) : Membership {
    override val view = MutableStateFlow(MembershipView(member(names.first()), names.map(::member)))

    override suspend fun leave() = Unit

    private fun member(name: String) = Member(
        address = PeerAddress(NodeId(name), Incarnation("1"), "127.0.0.1", 1),
        domain = FailureDomain("d"),
        region = Region("r"),
        state = MemberState.ALIVE,
    )
}

/** A network in which all calls fail. */
object UnreachableNetwork : PeerNetwork {
    override suspend fun <Q : Any, A : Any> call(
        to: PeerAddress,
        method: PeerMethod<Q, A>,
        request: Q,
        timeout: Duration,
    ): Either<PeerFailure, A> = PeerFailure.Unreachable("No connection.").left()

    override fun <Q : Any, A : Any> serve(method: PeerMethod<Q, A>, handler: suspend (Q) -> A) = Unit
}
