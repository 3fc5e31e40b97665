package org.persimmonrelay.fairness

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId

/** What one workspace used on one node since the node's last summary that named it. [cost] is in engine seconds. */
@Serializable
public data class ShareEntry(val workspace: WorkspaceId, val cost: Double, val tokens: Long, val running: Int)

/**
 * One node's consumption of one deployment, told to its peers about once a second.
 *
 * [top] names at most a fixed count of workspaces, those with the most cost not yet told; [restCost] is the sum
 * of the others, which stay due for a later summary. A summary whose [sequence] is not new is ignored.
 */
@Serializable
public data class ShareSummary(
    val node: NodeId,
    val incarnation: Incarnation,
    val sequence: Long,
    val deployment: DeploymentId,
    val top: List<ShareEntry>,
    val restCost: Double,
)
