package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.coroutines.withContext
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ObjectStore
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import java.io.IOException
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext

/**
 * Reads and writes snapshots of the configuration in the object store. They are named by version, so that two nodes
 * that write the same snapshot write the same content. Change rows are deleted only when they are older than the oldest
 * retained snapshot. A snapshot is written after every [versionsPerSnapshot] versions. Encoding a large configuration
 * takes long and runs in [background].
 */
public class SnapshotRepository(
    private val objects: ObjectStore,
    private val table: ReliableTable,
    private val state: CatalogState,
    private val operations: OperationIdGenerator,
    private val events: EventSink,
    private val versionsPerSnapshot: Long = DEFAULT_VERSIONS_PER_SNAPSHOT,
    private val background: CoroutineContext = EmptyCoroutineContext,
) {
    private var newestSnapshot = 0L

    /** Adopts the newest readable snapshot after [version]; fails with [StoreUnavailable] when there is none. */
    public suspend fun loadNewerThan(version: Long): Either<StoreUnavailable, Unit> = either {
        val names = objects.list(CatalogRows.SNAPSHOT_PREFIX).bind()
        val newer = names.filter { (CatalogRows.versionIn(it) ?: 0) > version }.sortedDescending()
        val snapshot = newer.firstNotNullOfOrNull { read(it).bind() }
        val found = snapshot ?: raise(StoreUnavailable("No snapshot after version $version can be read; trying again."))
        newestSnapshot = maxOf(newestSnapshot, found.version)
        state.adopt(found)
    }

    /** Writes a snapshot of [view] if the last one is [versionsPerSnapshot] versions older, and prunes old data. */
    public suspend fun writeIfDue(view: DefaultCatalogView) {
        if (view.version - newestSnapshot < versionsPerSnapshot) return
        val result = either {
            val names = objects.list(CatalogRows.SNAPSHOT_PREFIX).bind()
            newestSnapshot = names.mapNotNull(CatalogRows::versionIn).maxOrNull() ?: 0
            if (view.version - newestSnapshot < versionsPerSnapshot) return@either
            objects.put(CatalogRows.snapshot(view.version), encode(view)).bind()
            newestSnapshot = view.version
            events.record(CatalogEvent.SNAPSHOT_WRITTEN, "version" with view.version)
            prune(names + CatalogRows.snapshot(view.version)).bind()
        }
        result.onLeft { events.record(CatalogEvent.SNAPSHOT_FAILED, "reason" with it.message) }
    }

    private suspend fun encode(view: DefaultCatalogView): ByteArray =
        withContext(background) { CatalogJson.encode(Snapshot(view.version, view.storedObjects())) }

    private suspend fun read(name: String): Either<StoreUnavailable, Snapshot?> = objects.get(name).map { bytes ->
        if (bytes == null) return@map null
        try {
            CatalogJson.decodeSnapshot(bytes)
        } catch (e: IOException) {
            unreadable(name, e)
        } catch (e: IllegalArgumentException) {
            unreadable(name, e)
        }
    }

    private fun unreadable(name: String, cause: Exception): Snapshot? {
        events.record(CatalogEvent.SNAPSHOT_FAILED, "name" with name, "reason" with cause.message)
        return null
    }

    private suspend fun prune(names: List<String>): Either<StoreUnavailable, Unit> = either {
        val newestFirst = names.sortedDescending()
        if (newestFirst.size <= RETAINED_SNAPSHOTS) return@either
        newestFirst.drop(RETAINED_SNAPSHOTS).forEach { objects.delete(it).bind() }
        val oldestRetained = CatalogRows.versionIn(newestFirst[RETAINED_SNAPSHOTS - 1]) ?: return@either
        pruneChangesBefore(oldestRetained).bind()
    }

    private suspend fun pruneChangesBefore(version: Long): Either<StoreUnavailable, Unit> = either {
        val rows = table.scan(CatalogRows.CHANGE_PREFIX, limit = PRUNE_BATCH_SIZE).bind()
        val old = rows.filter { (CatalogRows.versionIn(it.key) ?: version) < version }
        if (old.isEmpty()) return@either
        val transaction = Transaction(
            operation = operations.next(),
            conditions = old.map { Condition.VersionIs(it.key, it.version) },
            writes = old.map { Write.Delete(it.key) },
        )
        val pruned = table.commit(transaction) is CommitOutcome.Committed
        if (pruned && old.size == PRUNE_BATCH_SIZE) pruneChangesBefore(version).bind()
    }

    private companion object {
        const val DEFAULT_VERSIONS_PER_SNAPSHOT = 200L
        const val RETAINED_SNAPSHOTS = 3
        const val PRUNE_BATCH_SIZE = 50
    }
}
