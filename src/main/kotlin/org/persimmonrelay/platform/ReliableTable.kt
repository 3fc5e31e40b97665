package org.persimmonrelay.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.clock.Clock
import kotlin.random.Random

/**
 * A node's one client of the table service.
 *
 * It bounds the time of each call, keeps the node within its share of the service's rates, holds calls back
 * during an outage, and settles a commit whose answer was lost: it reads the rows back and looks for the
 * transaction's operation id, and sends the transaction again only while all its conditions still hold.
 * Transactions should therefore write at least one row that they also put a condition on. Thread-safe.
 */
public class ReliableTable(
    private val service: TableService,
    private val clock: Clock,
    random: Random,
    private val settings: TableClientSettings = TableClientSettings(),
    public val counts: TableCounts = TableCounts(),
) {
    private val readBudget = bucket(settings.readsPerSecond)
    private val writeBudget = bucket(settings.writesPerSecond)
    private val breaker =
        CircuitBreaker(settings.failuresToOpen, settings.firstBackoff, settings.maxBackoff, random)

    /** Reads several rows at one point in time; see [TableService.read]. */
    public suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> {
        counts.reads.add(keys.size.toLong())
        return answerOf(send(reads = keys.size, writes = 0) { service.read(keys) })
    }

    /** Reads rows by prefix; see [TableService.scan]. */
    public suspend fun scan(
        prefix: String,
        after: String? = null,
        limit: Int = TableService.DEFAULT_SCAN_LIMIT,
    ): Either<StoreUnavailable, List<Row>> =
        answerOf(send(reads = 1, writes = 0) { service.scan(prefix, after, limit) })
            .onRight { counts.reads.add(maxOf(1, it.size).toLong()) }

    /** Applies [transaction], settling lost answers as far as the store lets it. */
    public suspend fun commit(transaction: Transaction): CommitOutcome {
        repeat(settings.commitAttempts) { attempt ->
            when (val sent = sendCommit(transaction)) {
                is Sent.Refused -> return refused(sent, attempt)
                is Sent.Answered -> return definite(transaction, sent.value, attempt)
                is Sent.Lost -> settle(transaction)?.let { return it }
            }
        }
        return unknown("The table service gave no answer to ${settings.commitAttempts} attempts.")
    }

    private suspend fun sendCommit(transaction: Transaction): Sent<CommitResult> {
        counts.commits.increment()
        counts.reads.add(transaction.conditions.size.toLong())
        counts.writes.add(transaction.writes.size.toLong())
        return send(transaction.conditions.size, transaction.writes.size) { service.commit(transaction) }
    }

    private fun refused(sent: Sent.Refused, attempt: Int): CommitOutcome = when (attempt) {
        0 -> CommitOutcome.NotSent(sent.message, synchronized(breaker) { breaker.retryAfter(clock.now()) })
        else -> unknown(sent.message)
    }

    private fun definite(transaction: Transaction, result: CommitResult, attempt: Int): CommitOutcome {
        if (attempt > 0) counts.settled.increment()
        return when (result) {
            is CommitResult.Committed -> CommitOutcome.Committed
            is CommitResult.Conflict -> conflict(transaction, result, attempt)
        }
    }

    /** A conflict of a repeated transaction may be with its own first attempt. */
    private fun conflict(transaction: Transaction, result: CommitResult.Conflict, attempt: Int): CommitOutcome {
        val own = result.current.any { it.operation == transaction.operation }
        if (own) return CommitOutcome.Committed
        if (attempt == 0) return CommitOutcome.Conflict(result.current)
        return when (evidence(transaction, result.current)) {
            Evidence.EXCLUDED -> CommitOutcome.Conflict(result.current)
            else -> unknown("The rows were written again before the lost answer could be settled.")
        }
    }

    /** The outcome that the rows prove; null when the transaction has to be sent again. */
    private suspend fun settle(transaction: Transaction): CommitOutcome? {
        val keys = (transaction.conditions.map { it.key } + transaction.writes.map { it.key }).distinct()
        val rows = read(keys).getOrNull() ?: return unknown("The table service does not answer.")
        return when (evidence(transaction, rows)) {
            Evidence.OPEN -> null
            Evidence.UNKNOWN -> unknown("The rows were written again before the lost answer could be settled.")
            Evidence.APPLIED -> CommitOutcome.Committed.also { counts.settled.increment() }
            Evidence.EXCLUDED -> CommitOutcome.Conflict(rows).also { counts.settled.increment() }
        }
    }

    private fun unknown(message: String): CommitOutcome {
        counts.unknown.increment()
        return CommitOutcome.Unknown(message)
    }

    private suspend fun <T : Any> send(
        reads: Int,
        writes: Int,
        call: suspend () -> Either<StoreUnavailable, T>,
    ): Sent<T> {
        if (!waitForBudget(reads, writes)) {
            counts.refusedByBudget.increment()
            return Sent.Refused("This node has used up its share of the table service; try again later.")
        }
        if (!synchronized(breaker) { breaker.admit(clock.now()) }) {
            counts.refusedByBreaker.increment()
            return Sent.Refused("The table service does not answer; try again later.")
        }
        val value = withTimeoutOrNull(settings.callTimeout) { call().getOrNull() }
        return if (value == null) lost() else answered(value)
    }

    private suspend fun waitForBudget(reads: Int, writes: Int): Boolean {
        val now = clock.now()
        val readWait = synchronized(readBudget) { readBudget.take(reads, settings.maxBudgetWait, now) }
        val writeWait = synchronized(writeBudget) { writeBudget.take(writes, settings.maxBudgetWait, now) }
        if (readWait == null || writeWait == null) return false
        val wait = maxOf(readWait, writeWait)
        if (wait.isPositive()) delay(wait)
        return true
    }

    private fun lost(): Sent<Nothing> {
        counts.failures.increment()
        synchronized(breaker) { breaker.failed(clock.now()) }
        return Sent.Lost
    }

    private fun <T : Any> answered(value: T): Sent<T> {
        synchronized(breaker) { breaker.succeeded() }
        return Sent.Answered(value)
    }

    private fun <T : Any> answerOf(sent: Sent<T>): Either<StoreUnavailable, T> = when (sent) {
        is Sent.Answered -> sent.value.right()
        is Sent.Lost -> StoreUnavailable("The table service gave no answer.").left()
        is Sent.Refused -> StoreUnavailable(sent.message).left()
    }

    private fun bucket(perSecond: Double) = TokenBucket(perSecond, perSecond * settings.burstSeconds)

    private sealed interface Sent<out T : Any> {
        data class Answered<T : Any>(val value: T) : Sent<T>

        data object Lost : Sent<Nothing>

        data class Refused(val message: String) : Sent<Nothing>
    }
}
