package org.persimmonrelay.usage

/**
 * The time up to which all running writers have stored their counts, as of [now]; null when there is no such writer. A
 * writer that has stored nothing for [forgetAfter] milliseconds counts as stopped, but not before that time has passed
 * since [restoredAt], when the table came back from an older copy: it may have lost what running writers stored. Times
 * are in milliseconds since the Unix epoch.
 */
internal fun storedThrough(writers: List<WriterRow>, now: Long, forgetAfter: Long, restoredAt: Long = 0): Long? =
    writers.map { it.countedThrough }.filter { now - maxOf(it, restoredAt) < forgetAfter }.minOrNull()
