package org.persimmonrelay.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLineStrict
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import java.io.IOException

/*
 * Reading of bodies that may break off. Ktor's functions take a channel that fails between two of their steps for one
 * that has ended.
 */

/** The rest of the body, at most [limit] bytes of it. Throws [IOException] if the body broke off. */
internal suspend fun ByteReadChannel.readBody(limit: Long): ByteArray {
    val bytes = readRemaining(limit).readByteArray()
    throwIfBroken()
    return bytes
}

/** The next line, or null at the end of the body. Throws [IOException] if the body broke off or on a longer line. */
internal suspend fun ByteReadChannel.readBodyLine(limit: Long): String? {
    val line = readLineStrict(limit)
    if (line == null) throwIfBroken()
    return line
}

private fun ByteReadChannel.throwIfBroken() {
    closedCause?.let { throw it }
}
