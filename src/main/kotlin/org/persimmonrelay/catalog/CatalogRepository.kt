/*
 * Stores the configuration in the table service. A change is one transaction: it updates the head row from version n
 * to n + 1 and creates the row of change n + 1. The conditions on both rows make versions consecutive and unique.
 *
 * A response can be lost after the transaction took effect, and a transaction can still take effect after its caller
 * timed out. The table client resolves both cases by the operation id in the rows. While it can't, the same transaction
 * is sent again. If one attempt has taken effect, the head row has changed, so that the other attempt fails. The change
 * row is written only once and contains the operation id of the successful transaction.
 */
package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import kotlinx.coroutines.delay
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/** Reads and writes the rows of the configuration, and adopts the versions that it reads into [state]. */
public class CatalogRepository(
    private val table: ReliableTable,
    private val state: CatalogState,
    private val snapshots: SnapshotRepository,
    private val operations: OperationIdGenerator,
    private val events: EventSink,
) {
    /** Updates [state] to the newest stored version and returns that version. */
    public suspend fun catchUp(): Either<StoreUnavailable, Long> = adoptNewest().map { it.version }

    /** The changes of [version]; null when there is no such version or its row was pruned. */
    public suspend fun deltaOf(version: Long): Either<StoreUnavailable, Delta?> =
        table.read(listOf(CatalogRows.change(version))).map { rows -> rows.firstOrNull()?.let(::decodeDelta) }

    /** Applies [request] against the newest stored version. */
    public suspend fun apply(request: ChangeRequest): Either<ChangeFailure, CatalogChangeResult> {
        repeat(MAX_ATTEMPTS) {
            val attempt = attempt(request)
            if (attempt is Attempt.Done) return attempt.result.also(::record)
        }
        val failure = ChangeFailure.Conflict(
            state.current.version,
            "Other changes came first $MAX_ATTEMPTS times in a row.",
        )
        return failure.left().also(::record)
    }

    private suspend fun attempt(request: ChangeRequest): Attempt {
        val head = adoptNewest().fold({ return unavailable(it) }, { it })
        val view = state.current
        if (view.version != head.version) return Attempt.Conflicted
        val changes = either { changesFor(request, view) }.fold({ return Attempt.Done(it.left()) }, { it })
        return when {
            changes.isEmpty() -> Attempt.Done(CatalogChangeResult.Unchanged(view.version).right())
            request.dryRun -> Attempt.Done(CatalogChangeResult.Checked(view.version + 1, changes).right())
            else -> commit(head, Delta(view.version + 1, operations.next(), changes))
        }
    }

    private fun Raise<ChangeFailure>.changesFor(request: ChangeRequest, view: DefaultCatalogView): List<CatalogChange> {
        PreconditionCheck(view).conflictWith(request)?.let { raise(it) }
        val changes = request.edit.changes(view).bind().filterNot { isUnchanged(it, view) }
        val errors = CatalogValidator.validate(view, changes)
        ensure(errors.isEmpty()) { ChangeFailure.Invalid(errors) }
        return changes
    }

    private fun isUnchanged(change: CatalogChange, view: DefaultCatalogView) =
        change is CatalogChange.Put && view.find(change.ref) == change.value

    private suspend fun commit(head: HeadRow, delta: Delta): Attempt {
        val encoded = CatalogJson.compact.encodeToString(Delta.serializer(), delta)
        if (encoded.length > MAX_DELTA_CHARACTERS) return Attempt.Done(tooLarge(encoded.length).left())
        val transaction = transaction(head, delta, encoded)
        val first = table.commit(transaction)
        if (first is CommitOutcome.NotSent) return unavailable(StoreUnavailable(first.message))
        return when (if (first is CommitOutcome.Unknown) resend(transaction) else first) {
            is CommitOutcome.Committed -> adoptStored(delta)
            is CommitOutcome.Conflict -> Attempt.Conflicted
            else -> Attempt.Done(ChangeFailure.OutcomeUnknown(delta.version, delta.operation).left())
        }
    }

    private suspend fun resend(transaction: Transaction): CommitOutcome? {
        repeat(MAX_RESENDS) {
            delay(RESEND_DELAY)
            val outcome = table.commit(transaction)
            if (outcome is CommitOutcome.Committed || outcome is CommitOutcome.Conflict) return outcome
        }
        return null
    }

    private fun transaction(head: HeadRow, delta: Delta, encoded: String): Transaction {
        val newHead = CatalogJson.compact.encodeToString(Head.serializer(), Head(delta.version, delta.operation))
        val row = CatalogRows.change(delta.version)
        return Transaction(
            operation = delta.operation,
            conditions = listOf(head.unchangedCondition, Condition.Absent(row)),
            writes = listOf(Write.Put(CatalogRows.HEAD, newHead), Write.Put(row, encoded)),
        )
    }

    private fun adoptStored(delta: Delta): Attempt {
        state.adopt(listOf(delta))
        return Attempt.Done(CatalogChangeResult.Stored(delta.version, delta.operation, delta).right())
    }

    private suspend fun adoptNewest(): Either<StoreUnavailable, HeadRow> = either {
        val head = readHead().bind()
        adoptUpTo(head.version).bind()
        head
    }

    private suspend fun adoptUpTo(head: Long): Either<StoreUnavailable, Unit> = either {
        while (state.current.version < head) {
            val before = state.current.version
            val rows = table.scan(CatalogRows.CHANGE_PREFIX, CatalogRows.change(before), SCAN_LIMIT).bind()
            state.adopt(rows.map(::decodeDelta))
            if (state.current.version == before) snapshots.loadNewerThan(before).bind()
        }
    }

    private suspend fun readHead(): Either<StoreUnavailable, HeadRow> =
        table.read(listOf(CatalogRows.HEAD)).map { rows -> HeadRow(rows.firstOrNull()) }

    private fun decodeDelta(row: Row): Delta = CatalogJson.compact.decodeFromString(Delta.serializer(), row.value)

    private fun unavailable(reason: StoreUnavailable): Attempt =
        Attempt.Done(ChangeFailure.Unavailable(reason.message).left())

    private fun tooLarge(size: Int) = ChangeFailure.Invalid(
        listOf(
            ValidationError(
                path = "change",
                message = "$size characters are more than one change may hold, $MAX_DELTA_CHARACTERS.",
                remedy = "Split it into several changes.",
            ),
        ),
    )

    private fun record(result: Either<ChangeFailure, CatalogChangeResult>) {
        when (val value = result.fold({ it }, { it })) {
            is CatalogChangeResult.Stored ->
                events.record(
                    CatalogEvent.CHANGE_STORED,
                    "version" with value.version,
                    "operation" with value.operation,
                )
            is ChangeFailure.Conflict -> events.record(CatalogEvent.CHANGE_CONFLICT, "version" with value.current)
            is ChangeFailure.OutcomeUnknown ->
                events.record(
                    CatalogEvent.CHANGE_UNKNOWN,
                    "version" with value.version,
                    "operation" with value.operation,
                )
        }
    }

    private sealed interface Attempt {
        data class Done(val result: Either<ChangeFailure, CatalogChangeResult>) : Attempt

        /** Another change was stored first; nothing of this one was stored. */
        data object Conflicted : Attempt
    }

    private class HeadRow(row: Row?) {
        val version: Long = row?.let { CatalogJson.compact.decodeFromString(Head.serializer(), it.value).version } ?: 0
        val unchangedCondition: Condition =
            row?.let { Condition.VersionIs(it.key, it.version) } ?: Condition.Absent(CatalogRows.HEAD)
    }

    private companion object {
        const val MAX_ATTEMPTS = 8
        const val MAX_RESENDS = 3
        const val MAX_DELTA_CHARACTERS = 256 * 1024
        const val SCAN_LIMIT = 200
        val RESEND_DELAY = 500.milliseconds
    }
}

/** Checks the versions that an operator expects against the configuration. */
internal class PreconditionCheck(private val view: DefaultCatalogView) {
    fun conflictWith(request: ChangeRequest): ChangeFailure.Conflict? {
        val head = request.headVersion
        if (head != null && head != view.version) {
            return conflict("The configuration is at version ${view.version}, not $head.")
        }
        val stale = request.expected.firstOrNull { view.versionOf(it.ref) != it.version } ?: return null
        return conflict("${stale.ref} ${describe(view.versionOf(stale.ref))}, not ${stale.version ?: "absent"}.")
    }

    private fun conflict(message: String) = ChangeFailure.Conflict(view.version, message)

    private fun describe(version: Long?) = if (version == null) "does not exist" else "was written by version $version"
}
