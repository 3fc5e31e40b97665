package org.persimmonrelay.lease

import kotlinx.serialization.Serializable
import org.persimmonrelay.peer.PeerMethod

/** What proves that an earlier holder of a lease can send nothing any more. */
public fun interface PredecessorEvidence {
    /**
     * True only on positive evidence about [holder]: it answered that it stepped down from [duty] for every epoch
     * up to [epoch], its node was seen running as a new incarnation, it left, or its host is gone from the host list.
     * Silence is never evidence.
     */
    public suspend fun hasStopped(duty: Duty, epoch: Long, holder: HolderId): Boolean

    public companion object {
        /** Asks [sources] in turn. */
        public fun anyOf(vararg sources: PredecessorEvidence): PredecessorEvidence =
            PredecessorEvidence { duty, epoch, holder -> sources.any { it.hasStopped(duty, epoch, holder) } }
    }
}

/** Asks [holder] to send nothing more under [duty] for epochs up to [epoch]. */
@Serializable
public data class StepDownRequest(val duty: Duty, val epoch: Long, val holder: HolderId)

/** [stopped] is true when nothing that the holder sent under these epochs can still arrive. */
@Serializable
public data class StepDownAnswer(val stopped: Boolean)

/** The peer method by which a new holder asks an earlier one to step down. */
public val STEP_DOWN: PeerMethod<StepDownRequest, StepDownAnswer> =
    PeerMethod("lease.stepDown", StepDownRequest.serializer(), StepDownAnswer.serializer())
