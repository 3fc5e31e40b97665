package org.persimmonrelay.lease

import kotlinx.serialization.Serializable
import org.persimmonrelay.peer.PeerMethod

/** Evidence that an earlier holder of a lease sends nothing more. */
public fun interface PredecessorEvidence {
    /**
     * True only on positive evidence about [holder]: it confirmed that it stepped down from [duty] for every epoch up
     * to [epoch], its node runs in a new incarnation, it left the cluster, or its host is gone from the host list.
     * The lack of an answer is never evidence.
     */
    public suspend fun hasStopped(duty: Duty, epoch: Long, holder: HolderId): Boolean

    public companion object {
        /** Queries [sources] in turn until one has evidence. */
        public fun anyOf(vararg sources: PredecessorEvidence): PredecessorEvidence =
            PredecessorEvidence { duty, epoch, holder -> sources.any { it.hasStopped(duty, epoch, holder) } }
    }
}

/** Asks [holder] to send nothing more under [duty] in epochs up to [epoch]. */
@Serializable
public data class StepDownRequest(val duty: Duty, val epoch: Long, val holder: HolderId)

/** [stopped] is true when no message that the holder sent in these epochs can still arrive. */
@Serializable
public data class StepDownAnswer(val stopped: Boolean)

/** The peer method with which a new holder asks an earlier one to step down. */
public val STEP_DOWN: PeerMethod<StepDownRequest, StepDownAnswer> =
    PeerMethod("lease.stepDown", StepDownRequest.serializer(), StepDownAnswer.serializer())
