/*
 * What goes into and comes out of the membership state machine. The machine is plain: its owner passes
 * events and the present time and carries out the returned actions.
 */
package org.persimmonrelay.membership

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.timeline.EventField

/** What the machine is told. */
internal sealed interface SwimEvent {
    /** Time has passed; comes every [SwimSettings.tick]. */
    data object Tick : SwimEvent

    /** The target of [probe] answered, directly or through a helper. */
    data class Answered(val probe: Long) : SwimEvent

    /** One way of [probe] gave no answer. */
    data class Unanswered(val probe: Long) : SwimEvent

    /** Records came with a message or, when [bulk], with a comparison of whole regions. */
    data class Heard(val records: List<MemberRecord>, val bulk: Boolean = false) : SwimEvent

    /** A comparison with a member of [region] ended. */
    data class Compared(val region: Region, val answered: Boolean) : SwimEvent

    /** This process owns its name and goes on under a new [generation]. */
    data class NameConfirmed(val generation: Long) : SwimEvent

    /** Another process owns this node's name. */
    data object NameLost : SwimEvent

    /** This node stops on purpose. */
    data object Leave : SwimEvent

    /** This node's work is done. */
    data object Left : SwimEvent
}

/** What the machine wants done. */
internal sealed interface SwimAction {
    data class Ping(val probe: Long, val target: PeerAddress) : SwimAction

    data class PingThrough(val probe: Long, val helper: PeerAddress, val target: PeerAddress) : SwimAction

    /** Compare all regions with [target], a member of [region]. */
    data class Compare(val target: PeerAddress, val region: Region) : SwimAction

    /** Read the seeds and compare with them. */
    data object ReadSeeds : SwimAction

    /** Find out whether this process still owns its name; generation [heard] was seen under it. */
    data class ConfirmName(val heard: Long) : SwimAction

    data class Record(val event: MembershipEvent, val fields: List<EventField>) : SwimAction
}

/** A probe under way; [open] ways can still bring an answer. */
internal class Probe(val target: NodeId, var open: Int) {
    var indirect = false
}

/** When a suspect is declared failed, and whether this node raised the suspicion. */
internal class Suspicion(var deadline: Moment, val own: Boolean)
