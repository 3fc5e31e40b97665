/*
 * Input and output of the membership state machine. The machine does no I/O: its owner passes events and the current
 * time, and executes the returned actions.
 */
package org.persimmonrelay.membership

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.timeline.EventField

/** Input of [SwimStateMachine]. */
internal sealed interface SwimEvent {
    /** Timer event, sent every [SwimSettings.tick]. */
    data object Tick : SwimEvent

    /** The target of [probe] answered, directly or through a helper. */
    data class ProbeSucceeded(val probe: Long) : SwimEvent

    /** The direct ping of [probe], or a ping through one helper, failed. */
    data class ProbeAttemptFailed(val probe: Long) : SwimEvent

    /** Member records arrived, piggybacked on a message or, when [bulk], by a comparison of whole regions. */
    data class RecordsReceived(val records: List<MemberRecord>, val bulk: Boolean = false) : SwimEvent

    /** A comparison with a member of [region] ended; [answered] is false when the member did not answer. */
    data class Compared(val region: Region, val answered: Boolean) : SwimEvent

    /** This process still owns its node name and continues with a new [generation]. */
    data class NameConfirmed(val generation: Long) : SwimEvent

    /** Another process has taken over this node's name. */
    data object NameLost : SwimEvent

    /** This node begins to shut down. */
    data object Leave : SwimEvent

    /** This node has finished its work and leaves. */
    data object LeaveCompleted : SwimEvent
}

/** Output of [SwimStateMachine], to be executed by its owner. */
internal sealed interface SwimAction {
    data class Ping(val probe: Long, val target: PeerAddress) : SwimAction

    data class PingVia(val probe: Long, val helper: PeerAddress, val target: PeerAddress) : SwimAction

    /** Compare the records of all regions with [target], a member of [region]. */
    data class Compare(val target: PeerAddress, val region: Region) : SwimAction

    /** Read seed nodes from the table and compare records with them. */
    data object ReadSeeds : SwimAction

    /** Check in the table whether this process still owns its name. [seenGeneration] is from a conflicting record. */
    data class ConfirmName(val seenGeneration: Long) : SwimAction

    data class RecordEvent(val event: MembershipEvent, val fields: List<EventField>) : SwimAction
}

/** A probe in flight. [open] is the number of its pings that have not failed yet. */
internal class Probe(val target: NodeId, var open: Int) {
    var isIndirect = false
}

/** A suspected member is declared failed at [deadline]. [isLocal] is true when this node raised the suspicion. */
internal class Suspicion(var deadline: Moment, val isLocal: Boolean)
