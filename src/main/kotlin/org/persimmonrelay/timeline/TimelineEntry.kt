package org.persimmonrelay.timeline

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId

/**
 * An event recorded by a node.
 *
 * @property sequence number of the event within its incarnation, starting at 1.
 */
@Serializable
public data class TimelineEntry(
    val at: HybridTimestamp,
    val node: NodeId,
    val incarnation: Incarnation,
    val sequence: Long,
    val number: Int,
    val name: String,
    val summary: String,
    val fields: List<EventField> = emptyList(),
)
