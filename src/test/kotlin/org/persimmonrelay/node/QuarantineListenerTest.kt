package org.persimmonrelay.node

import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.clock.ManualClock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.FeedResponse
import org.persimmonrelay.platform.FeedRow
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.StoreVersion
import org.persimmonrelay.quarantine.LedgerExchange
import org.persimmonrelay.quarantine.LossLedger
import org.persimmonrelay.quarantine.RequestQuarantine
import org.persimmonrelay.quarantine.ServerLoss
import org.persimmonrelay.quarantine.Suspect
import org.persimmonrelay.quarantine.SuspectRecord
import org.persimmonrelay.route.RouteTable
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** What a node makes of the rows that it reads of the followed table. */
class QuarantineListenerTest {
    private val clock = ManualClock(wallOffsetMillis = 10_000)
    private val quarantine = RequestQuarantine { _, _ -> }
    private val table = StandInTable()
    private lateinit var exchange: LedgerExchange
    private val ledger = LossLedger(
        listOf(SuspectRecord("deadly", 0, List(3) { ServerLoss(ServerId("s$it"), 1, atMillis = 1_000L * it) })),
    )

    @Test
    fun `a stored ledger is in force, whether read in full or as a change`() = runTest {
        listener().onSnapshot(response(row(text(ledger))))
        runCurrent()
        assertNotNull(quarantinedPart())

        listener().onChanges(response(FeedRow(LedgerExchange.ROW_KEY, null)))
        runCurrent()
        assertNull(quarantinedPart(), "The operators have deleted the row.")

        listener().onChanges(response(row(text(ledger))))
        runCurrent()
        assertNotNull(quarantinedPart())
    }

    @Test
    fun `a malformed row and rows of others change nothing`() = runTest {
        listener().onSnapshot(response(row(text(ledger))))
        runCurrent()

        listener().onSnapshot(response(row("malformed"), FeedRow("other", ByteArray(0))))
        listener().onChanges(response(row("malformed")))
        listener().onSnapshot(response(FeedRow(LedgerExchange.ROW_KEY, INVALID)))
        runCurrent()

        assertNotNull(quarantinedPart())
    }

    /** Guards against a quarantine that only the nodes of before know, since the restored store has lost it. */
    @Test
    fun `a ledger that the restored store has lost is stored again`() = runTest {
        val listener = listener()
        backgroundScope.launch { exchange.run() }
        listener.onSnapshot(response(row(text(ledger))))
        runCurrent()

        listener.onSnapshot(FeedResponse(emptyList(), StoreVersion(2, 1), sentAt = Moment.ZERO))
        advanceTimeBy(2.seconds)

        assertNotNull(quarantinedPart())
        val stored = table.read(listOf(LedgerExchange.ROW_KEY)).getOrNull()?.single()?.value
        assertEquals(3, stored?.let { Json.decodeFromString(LossLedger.serializer(), it) }?.get("deadly")?.losses?.size)
    }

    private fun quarantinedPart() = quarantine.quarantined(listOf(Suspect("deadly", 0)), 10_000)

    private fun text(ledger: LossLedger) = Json.encodeToString(LossLedger.serializer(), ledger)

    private fun row(value: String) = FeedRow(LedgerExchange.ROW_KEY, value.encodeToByteArray())

    private fun response(vararg rows: FeedRow) =
        FeedResponse(rows.toList(), version = StoreVersion(1, 1), sentAt = Moment.ZERO)

    private fun TestScope.listener(): QuarantineListener {
        exchange = LedgerExchange(
            table = ReliableTable(table, clock, Random(1)),
            quarantine = quarantine,
            quarantineThread = StandardTestDispatcher(testScheduler),
            nodeCount = { 1 },
            wallClock = clock,
            random = Random(1),
            newOperation = { OperationId("o") },
            events = { _, _ -> },
        )
        return QuarantineListener(PlainRowReader, backgroundScope) { exchange }
    }

    /** Values are stored as they are; [INVALID] stands for one that can't be decoded. */
    private object PlainRowReader : RowReader {
        override fun routeTable(row: FeedRow): RouteTable? = null

        override fun backendServer(row: FeedRow): BackendServer? = null

        override fun ownValue(row: FeedRow): String? =
            row.value?.takeUnless { it.contentEquals(INVALID) }?.decodeToString()
    }

    private companion object {
        val INVALID = byteArrayOf(0)
    }
}
