package org.persimmonrelay.platform

/** What the rows say about a transaction whose answer was lost. */
internal enum class Evidence {
    /** A row carries its operation id. */
    APPLIED,

    /** It did not take effect and never can. */
    EXCLUDED,

    /** Every condition still holds, so that sending it again is safe. */
    OPEN,

    /** A row has been written more than once since. */
    UNKNOWN,
}

/** Judges [transaction] by [rows], the present rows under its keys. */
internal fun evidence(transaction: Transaction, rows: List<Row>): Evidence {
    val byKey = rows.associateBy { it.key }
    if (rows.any { it.operation == transaction.operation }) return Evidence.APPLIED
    if (transaction.conditions.isEmpty()) return Evidence.UNKNOWN
    if (transaction.conditions.all { it.holdsIn(byKey) }) return Evidence.OPEN
    val written = transaction.writes.filterIsInstance<Write.Put>().map { it.key }.toSet()
    val excluded = transaction.conditions.any { it.key in written && it.excludesOwnWrite(byKey) }
    return if (excluded) Evidence.EXCLUDED else Evidence.UNKNOWN
}

private fun Condition.holdsIn(rows: Map<String, Row>): Boolean = when (this) {
    is Condition.Absent -> key !in rows
    is Condition.VersionIs -> rows[key]?.version == version
}

/** True when the row would look otherwise had the transaction written it: nobody wrote, or just one other did. */
private fun Condition.excludesOwnWrite(rows: Map<String, Row>): Boolean {
    val present = rows[key]?.version ?: 0
    return when (this) {
        is Condition.Absent -> present == 1L
        is Condition.VersionIs -> present in 1..version + 1
    }
}
