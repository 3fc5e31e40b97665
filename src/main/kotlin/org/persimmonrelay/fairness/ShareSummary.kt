package org.persimmonrelay.fairness

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId

/**
 * One workspace on one node: what it used since the node's last summary that named it, and what it asks for.
 * [cost] is in engine seconds, [demand] in engine seconds per second, refused requests included.
 */
@Serializable
public data class ShareEntry(
    val workspace: WorkspaceId,
    val weight: Int,
    val cost: Double,
    val tokens: Long,
    val running: Int,
    val demand: Double,
)

/**
 * One node's consumption of one deployment, told to its peers about once a second.
 *
 * [top] names at most a fixed count of workspaces, those with the most to tell; the cost of the others stays due
 * for a later summary, and [restDemand] is the sum of what they ask for. [served] is what the node starts, in
 * engine seconds per second. A summary whose [sequence] is not new is ignored.
 */
@Serializable
public data class ShareSummary(
    val node: NodeId,
    val incarnation: Incarnation,
    val sequence: Long,
    val deployment: DeploymentId,
    val top: List<ShareEntry>,
    val restDemand: Double,
    val served: Double,
)
