package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/** The result of a change and how many nodes have it; [replication] is null when nothing was stored. */
public data class ChangeReceipt(val result: CatalogChangeResult, val replication: ReplicationStatus? = null)

/** Accepts changes on this node: stores them, pushes them to the other nodes and writes snapshots. */
public class CatalogManager(
    private val repository: CatalogRepository,
    private val peers: CatalogPeers,
    private val snapshots: SnapshotRepository,
    private val state: CatalogState,
    private val scope: CoroutineScope,
    private val events: EventSink,
) {
    /**
     * Applies [request]. Returns after the change was pushed to the other nodes, so that a change reported as
     * confirmed by a majority reaches every connected node even if the stores and this node fail right afterwards.
     */
    public suspend fun apply(request: ChangeRequest): Either<ChangeFailure, ChangeReceipt> = either {
        val result = repository.apply(request).bind()
        if (result !is CatalogChangeResult.Stored) return@either ChangeReceipt(result)
        val replication = peers.push(result.delta, scope)
        if (!replication.isMajority) recordIncomplete(result, replication)
        scope.launch { snapshots.writeIfDue(state.current) }
        ChangeReceipt(result, replication)
    }

    /** The changes of [version]; null when there is no such version or its row was pruned. */
    public suspend fun deltaOf(version: Long): Either<StoreUnavailable, Delta?> = repository.deltaOf(version)

    private fun recordIncomplete(result: CatalogChangeResult.Stored, replication: ReplicationStatus) = events.record(
        CatalogEvent.SPREAD_INCOMPLETE,
        "version" with result.version,
        "confirmed" with replication.confirmed,
        "expected" with replication.expected,
    )
}
