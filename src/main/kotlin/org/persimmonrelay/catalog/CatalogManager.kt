package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/** A change's result, and how far it has got; [replication] is null when nothing was stored. */
public data class ChangeReceipt(val result: CatalogChangeResult, val replication: ReplicationStatus? = null)

/** Accepts changes for this node: stores them, pushes them to the others and keeps the snapshots. */
public class CatalogManager(
    private val repository: CatalogRepository,
    private val peers: CatalogPeers,
    private val snapshots: SnapshotRepository,
    private val state: CatalogState,
    private val scope: CoroutineScope,
    private val events: EventSink,
) {
    /**
     * Applies [request]. The answer comes after one round of pushes, so that a change that is reported as confirmed
     * by a majority reaches every connected node even when the store and this node fail right afterwards.
     */
    public suspend fun apply(request: ChangeRequest): Either<ChangeFailure, ChangeReceipt> = either {
        val result = repository.apply(request).bind()
        if (result !is CatalogChangeResult.Stored) return@either ChangeReceipt(result)
        val replication = peers.push(result.delta, scope)
        if (!replication.isMajority) recordIncomplete(result, replication)
        scope.launch { snapshots.writeIfDue(state.current) }
        ChangeReceipt(result, replication)
    }

    /** What [version] changed, or null when there is no such version or it was pruned. */
    public suspend fun deltaOf(version: Long): Either<StoreUnavailable, Delta?> = repository.deltaOf(version)

    private fun recordIncomplete(result: CatalogChangeResult.Stored, replication: ReplicationStatus) = events.record(
        CatalogEvent.SPREAD_INCOMPLETE,
        "version" with result.version,
        "confirmed" with replication.confirmed,
        "expected" with replication.expected,
    )
}
