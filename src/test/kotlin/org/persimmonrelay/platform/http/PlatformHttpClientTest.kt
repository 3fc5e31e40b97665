package org.persimmonrelay.platform.http

import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.standin.FakePlatform
import org.persimmonrelay.standin.StandInPlatformServer
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PlatformHttpClientTest {
    private val fake = FakePlatform()
    private val server = StandInPlatformServer(fake.platform)
    private val http = PlatformHttpClient(SystemClock)
    private val settings = runBlocking { server.start() }
    private val table = HttpTableService(http, settings.table)
    private val objects = HttpObjectStore(http, settings.objects)

    @AfterTest
    fun stop() {
        http.close()
        server.stop()
    }

    @Test
    fun `transactions and scans behave over HTTP as they do in memory`() = runBlocking {
        val created = table.commit(put("a/1", "x", "op1"))
        val repeated = table.commit(put("a/1", "y", "op2"))
        table.commit(put("a/2", "z", "op3"))

        assertEquals(CommitResult.Committed, created.getOrNull())
        assertEquals(
            "x",
            assertIs<CommitResult.Conflict>(repeated.getOrNull()).current.single().value,
        )
        assertEquals(listOf("a/1", "a/2"), table.scan("a/").getOrNull()?.map { it.key })
        assertEquals(listOf("a/2"), table.scan("a/", after = "a/1").getOrNull()?.map { it.key })
        assertEquals(fake.table.read(listOf("a/1")), table.read(listOf("a/1")))
    }

    @Test
    fun `a lost response is reported as unavailable although the write took effect`() = runBlocking {
        fake.table.faults.loseNextResponses = 1

        val result = table.commit(put("k", "v", "op"))

        assertTrue(result.isLeft())
        assertEquals("v", fake.table.read(listOf("k")).getOrNull()?.single()?.value)
    }

    @Test
    fun `objects with slashes in their names are stored and listed unchanged`() = runBlocking {
        val bytes = byteArrayOf(0, 1, -1)

        objects.put("snapshots/0001", bytes)

        assertContentEquals(bytes, objects.get("snapshots/0001").getOrNull())
        assertNull(objects.get("snapshots/0002").getOrNull())
        assertEquals(listOf("snapshots/0001"), objects.list("snapshots/").getOrNull())
    }

    private fun put(key: String, value: String, operation: String) =
        Transaction(OperationId(operation), listOf(Condition.Absent(key)), listOf(Write.Put(key, value)))
}
