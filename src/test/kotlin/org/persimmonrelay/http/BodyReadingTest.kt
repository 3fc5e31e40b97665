package org.persimmonrelay.http

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.runBlocking
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class BodyReadingTest {
    @Test
    fun `a body is read to its end`() = runBlocking {
        assertEquals("ab", ByteReadChannel("ab").readBody(LIMIT).decodeToString())
        assertEquals("a", ByteReadChannel("ab").readBody(1).decodeToString())
        val lines = ByteReadChannel("a\n\nb\n")
        assertEquals(listOf("a", "", "b", null), List(4) { lines.readBodyLine(LIMIT) })
    }

    @Test
    fun `a longer line than allowed is no line`() {
        assertFailsWith<IOException> { runBlocking { ByteReadChannel("abc\n").readBodyLine(2) } }
    }

    @Test
    fun `a body that breaks off while it is read has not ended`() {
        assertFailsWith<IOException> { runBlocking { breakingOff().readBody(LIMIT) } }
        assertFailsWith<IOException> { runBlocking { breakingOff().readBodyLine(LIMIT) } }
    }

    /** A body whose connection is reset between the look for a failure and the look for data. */
    private fun breakingOff(): ByteReadChannel = ResetChannel(ByteChannel())

    @OptIn(InternalAPI::class)
    private class ResetChannel(private val channel: ByteChannel) : ByteReadChannel by channel {
        override suspend fun awaitContent(min: Int): Boolean {
            channel.cancel(IOException("The connection was reset."))
            return false
        }
    }

    private companion object {
        const val LIMIT = 100L
    }
}
