package org.persimmonrelay.usage

/**
 * Up to when all nodes that ran lately have stored what they counted, in milliseconds since the Unix epoch, seen at
 * [now]. A writer that has been silent for [forgetAfter] milliseconds is taken as ended. Null when there is none.
 */
internal fun heardThrough(writers: List<WriterRow>, now: Long, forgetAfter: Long): Long? =
    writers.map { it.countedThrough }.filter { now - it < forgetAfter }.minOrNull()
