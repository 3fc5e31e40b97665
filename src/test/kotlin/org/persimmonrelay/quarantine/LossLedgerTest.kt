package org.persimmonrelay.quarantine

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import org.persimmonrelay.identity.ServerId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LossLedgerTest {
    @Test
    fun `ledgers merge to the same whatever the order and however often`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val (a, b, c) = List(3) { ledger(random) }

            assertEquals(a.merge(b), b.merge(a))
            assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)))
            assertEquals(a.merge(b), a.merge(b).merge(b).merge(a))
        }
    }

    @Test
    fun `a complete response clears the losses before it and no others`() {
        val lost = LossLedger().merge(record("p", 10, 20, 30))

        val cleared = lost.merge(SuspectRecord("p", 0, completeAtMillis = 20))

        assertEquals(listOf(30L), cleared["p"]?.losses?.map { it.atMillis })
        assertEquals(cleared, cleared.merge(lost))
    }

    @Test
    fun `a loss that was noted after a later complete response does not count`() {
        val late = SuspectRecord("p", 0, listOf(ServerLoss(ServerId("s"), 1, atMillis = 10)), completeAtMillis = 20)

        assertEquals(emptyList(), LossLedger().merge(late)["p"]?.losses)
    }

    @Test
    fun `two nodes that see the same server end count it once`() {
        val one = ServerLoss(ServerId("s"), 1, atMillis = 100)
        val ledger = LossLedger().merge(SuspectRecord("p", 0, listOf(one)))
            .merge(SuspectRecord("p", 0, listOf(one.copy(atMillis = 130))))

        assertEquals(listOf(one.copy(atMillis = 130)), ledger["p"]?.losses)
    }

    @Test
    fun `the ledger stays within its bounds and keeps the parts with the most losses`() {
        val many = (1..500).fold(LossLedger()) { ledger, i -> ledger.merge(record("part$i", i * 1_000L)) }
        val suspect = record("suspect", *LongArray(100) { it * 1_000L })

        val ledger = many.merge(suspect)

        assertEquals(LossLedger.MAX_RECORDS, ledger.records.size)
        assertNotNull(ledger["suspect"])
        val value = JsonPrimitive(Json.encodeToString(LossLedger.serializer(), full()))
        assertTrue(value.toString().length < MAX_ROW_BYTES, "${value.toString().length} bytes")
    }

    @Test
    fun `a record expires when nothing is added to it any more`() {
        val ledger = LossLedger().merge(record("p", 1_000))
        val end = 1_000 + LossLedger.RETENTION.inWholeMilliseconds

        assertNotNull(ledger.withoutExpired(end - 1)["p"])
        assertNull(ledger.withoutExpired(end)["p"])
        assertNotNull(ledger.merge(SuspectRecord("p", 0, refusedAtMillis = 2_000)).withoutExpired(end)["p"])
    }

    /** As many records and losses as a ledger can hold, with long ids. */
    private fun full(): LossLedger = LossLedger(
        List(LossLedger.MAX_RECORDS) { i -> record("%064d".format(i), *LongArray(100) { NOW + it }) }
            .map { it.merge(SuspectRecord(it.id, 0, refusedAtMillis = NOW)) },
    )

    private fun record(part: String, vararg at: Long) = SuspectRecord(part, 0).merge(
        SuspectRecord(
            part,
            0,
            at.map {
                ServerLoss(ServerId("i-0123456789$it"), NOW, it)
            },
        ),
    )

    private fun ledger(random: Random) = LossLedger().merge(
        LossLedger(
            List(4) { part ->
                SuspectRecord(
                    id = "p$part",
                    position = random.nextInt(3),
                    losses = List(random.nextInt(4)) { ServerLoss(ServerId("s${random.nextInt(5)}"), 1, time(random)) },
                    completeAtMillis = time(random).takeIf { random.nextBoolean() },
                    refusedAtMillis = time(random).takeIf { random.nextBoolean() },
                )
            },
        ),
    )

    private fun time(random: Random) = random.nextLong(1, 100)

    private companion object {
        const val NOW = 1_787_371_252_000

        /** What one row of the store may hold, in base64; the ledger is a string within it. */
        const val MAX_ROW_BYTES = 65_536 * 3 / 4
    }
}
