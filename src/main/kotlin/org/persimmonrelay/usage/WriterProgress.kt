package org.persimmonrelay.usage

/**
 * The time up to which all running writers have stored their counts, as of [now]; null when there is no such writer.
 * A writer that has stored nothing for [forgetAfter] milliseconds counts as stopped. Times are in milliseconds since
 * the Unix epoch.
 */
internal fun storedThrough(writers: List<WriterRow>, now: Long, forgetAfter: Long): Long? =
    writers.map { it.countedThrough }.filter { now - it < forgetAfter }.minOrNull()
