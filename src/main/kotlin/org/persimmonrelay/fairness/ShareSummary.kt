package org.persimmonrelay.fairness

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId

/**
 * One workspace on one node: [cost] in engine seconds and [tokens] used since the node's last summary with this
 * workspace, the number of [running] requests, and [demand] in engine seconds per second, refused requests included.
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
 * One node's consumption of one deployment, sent to its peers about once a second.
 *
 * [top] has a limited number of workspaces, those with the highest demand and unreported cost. The cost of the others
 * is reported in a later summary; [restDemand] is the sum of their demand. [served] is the cost of the requests that
 * the node starts, in engine seconds per second. Within one [incarnation] of the node, a summary whose [sequence] is
 * not higher than the last one is ignored.
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
