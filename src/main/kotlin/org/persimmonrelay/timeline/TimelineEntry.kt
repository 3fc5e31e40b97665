package org.persimmonrelay.timeline

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId

/**
 * One event as a node keeps it.
 *
 * @property sequence grows by one with each event of one incarnation, from 1.
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
