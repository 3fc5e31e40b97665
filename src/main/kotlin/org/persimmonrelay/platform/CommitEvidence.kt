package org.persimmonrelay.platform

/** What the stored rows show about a transaction whose response was lost. */
internal enum class CommitEvidence {
    /** A row has the transaction's operation id, so the transaction took effect. */
    APPLIED,

    /** The transaction did not take effect and never will. */
    EXCLUDED,

    /** All conditions still hold, so the transaction can safely be sent again. */
    OPEN,

    /** The rows don't show it, for example because a row was written more than once since. */
    UNKNOWN,
}

/** Determines what [rows], the current rows under the keys of [transaction], show about it. */
internal fun commitEvidence(transaction: Transaction, rows: List<Row>): CommitEvidence {
    val byKey = rows.associateBy { it.key }
    if (rows.any { it.operation == transaction.operation }) return CommitEvidence.APPLIED
    if (transaction.conditions.isEmpty()) return CommitEvidence.UNKNOWN
    if (transaction.conditions.all { it.holdsIn(byKey) }) return CommitEvidence.OPEN
    val written = transaction.writes.filterIsInstance<Write.Put>().map { it.key }.toSet()
    val excluded = transaction.conditions.any { it.key in written && it.excludesOwnWrite(byKey) }
    return if (excluded) CommitEvidence.EXCLUDED else CommitEvidence.UNKNOWN
}

private fun Condition.holdsIn(rows: Map<String, Row>): Boolean = when (this) {
    is Condition.Absent -> key !in rows
    is Condition.VersionIs -> rows[key]?.version == version
}

/**
 * True when the row's version shows that the transaction did not write the row: the version leaves room for at most
 * one write since the condition was set, and that one was another transaction's.
 */
private fun Condition.excludesOwnWrite(rows: Map<String, Row>): Boolean {
    val present = rows[key]?.version ?: 0
    return when (this) {
        is Condition.Absent -> present == 1L
        is Condition.VersionIs -> present in 1..version + 1
    }
}
