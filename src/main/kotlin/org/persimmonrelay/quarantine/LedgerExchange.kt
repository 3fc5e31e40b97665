package org.persimmonrelay.quarantine

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps the ledger of all nodes in one row of the store: adds what this node observes, and passes on what the row has.
 * Runs on the control thread; [quarantine] belongs to [quarantineThread].
 */
public class LedgerExchange(
    private val table: ReliableTable,
    private val quarantine: RequestQuarantine,
    private val quarantineThread: CoroutineDispatcher,
    private val nodeCount: () -> Int,
    private val wallClock: Clock,
    private val random: Random,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    private var isFailureLogged = false

    /** Stores this node's observations until cancelled. */
    public suspend fun run() {
        while (true) {
            quarantine.changes.receive()
            delay(publishDelay(nodeCount(), random))
            isFailureLogged = false
            while (!publish()) delay(RETRY_DELAY)
        }
    }

    /** The row was read from the store; null when it was deleted. */
    public suspend fun received(value: String?) {
        val ledger = value?.let(::decode)
        withContext(quarantineThread) {
            if (ledger == null) quarantine.reset(now()) else quarantine.adopt(ledger, now())
        }
    }

    /** The store was restored from an older copy, which may lack what nodes have stored since. */
    public suspend fun storeRestored() {
        withContext(quarantineThread) { quarantine.storeRestored() }
    }

    /** True when the store has all that this node has observed. */
    private suspend fun publish(): Boolean {
        val readAfter = table.restores
        val row = table.read(listOf(ROW_KEY)).fold({ return notStored(it.message) }, { it.firstOrNull() })
        val current = row?.let { decode(it.value) } ?: LossLedger.EMPTY
        val ledger = withContext(quarantineThread) {
            quarantine.adopt(current, now())
            quarantine.publish(current, now())
        } ?: return true
        return when (val outcome = table.commit(transaction(row, ledger), readAfter)) {
            is CommitOutcome.Committed -> stored(ledger)
            is CommitOutcome.Conflict -> false
            is CommitOutcome.NotSent -> notStored(outcome.message)
            is CommitOutcome.Unknown -> notStored(outcome.message)
        }
    }

    private fun transaction(row: Row?, ledger: LossLedger): Transaction {
        val condition = row?.let { Condition.VersionIs(ROW_KEY, it.version) } ?: Condition.Absent(ROW_KEY)
        val text = Json.encodeToString(LossLedger.serializer(), ledger)
        return Transaction(newOperation(), listOf(condition), listOf(Write.Put(ROW_KEY, text)))
    }

    private suspend fun stored(ledger: LossLedger): Boolean {
        events.record(QuarantineEvent.LEDGER_STORED, "parts" with ledger.records.size)
        withContext(quarantineThread) { quarantine.adopt(ledger, now()) }
        return true
    }

    /** Logged once, however often storing is tried again. */
    private fun notStored(reason: String): Boolean {
        if (!isFailureLogged) events.record(QuarantineEvent.LEDGER_NOT_STORED, "why" with reason)
        isFailureLogged = true
        return false
    }

    private fun decode(text: String): LossLedger = try {
        JSON.decodeFromString(LossLedger.serializer(), text)
    } catch (e: SerializationException) {
        events.record(QuarantineEvent.LEDGER_UNREADABLE, "why" with e.message)
        LossLedger.EMPTY
    }

    private fun now() = wallClock.wallMillis()

    public companion object {
        /** Key of the row. */
        public const val ROW_KEY: String = "quarantine/ledger"
        private val RETRY_DELAY = 200.milliseconds

        /** During a rollout, nodes of newer versions may write fields that this one does not know. */
        private val JSON = Json { ignoreUnknownKeys = true }
    }
}

/**
 * How long one of [nodes] nodes gathers observations before it stores them. Spread over a time that grows with the
 * nodes, since all of them may see the same server end: the first stores what most of the others saw too.
 */
internal fun publishDelay(nodes: Int, random: Random): Duration =
    (DELAY_PER_NODE * nodes).coerceIn(SHORTEST_SPREAD, LONGEST_SPREAD) * random.nextDouble()

private val DELAY_PER_NODE = 5.milliseconds
private val SHORTEST_SPREAD = 40.milliseconds

/** Short against the seconds within which all nodes must know of a quarantine. */
private val LONGEST_SPREAD = 1_000.milliseconds
