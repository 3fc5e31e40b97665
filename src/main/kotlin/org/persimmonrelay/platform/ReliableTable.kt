package org.persimmonrelay.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.clock.Clock
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The client of the table service, shared by all components of a node.
 *
 * Each call has a timeout, is limited to the node's share of the service's rate, and is refused by a circuit breaker
 * during an outage. When the response to a commit is lost, the client reads the rows and looks for the transaction's
 * operation id. It sends the transaction again only while all of the transaction's conditions still hold. A
 * transaction should therefore write at least one row that it also has a condition on, since otherwise a lost
 * response often leaves its outcome unknown.
 *
 * After the service was restored from an older copy, the versions in a transaction's conditions may belong to other
 * content. A transaction takes effect for its caller only if all of its calls were answered by the restore that the
 * caller has read. Thread-safe.
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

    /** Rises when the service is restored from an older copy; see [TableService.restores]. */
    public val restores: Long
        get() = service.restores

    /** True if a response has told of a restore since [restores] was [before]. */
    public fun wasRestoredSince(before: Long): Boolean = service.wasRestoredSince(before)

    /** Reads several rows at one point in time; see [TableService.read]. */
    public suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> {
        counts.reads.add(keys.size.toLong())
        return toEither(send(reads = keys.size, writes = 0) { service.read(keys) })
    }

    /** Reads rows by prefix; see [TableService.scan]. */
    public suspend fun scan(
        prefix: String,
        after: String? = null,
        limit: Int = TableService.DEFAULT_SCAN_LIMIT,
    ): Either<StoreUnavailable, List<Row>> =
        toEither(send(reads = 1, writes = 0) { service.scan(prefix, after, limit) })
            .onRight { counts.reads.add(maxOf(1, it.size).toLong()) }

    /**
     * Commits [transaction], whose conditions are based on rows that were read after [readAfter] restores. After a lost
     * response, determines the outcome from the rows where that is possible.
     */
    public suspend fun commit(transaction: Transaction, readAfter: Long = restores): CommitOutcome {
        if (wasRestoredSince(readAfter)) return CommitOutcome.NotSent(RESTORED, Duration.ZERO)
        val outcome = commitReliably(transaction, readAfter)
        return if (wasRestoredSince(readAfter)) unknown(RESTORED) else outcome
    }

    private suspend fun commitReliably(transaction: Transaction, readAfter: Long): CommitOutcome {
        for (attempt in 0 until settings.commitAttempts) {
            if (wasRestoredSince(readAfter)) break
            val outcome = when (val callResult = sendCommit(transaction)) {
                is CallResult.Refused -> refused(callResult, attempt)
                is CallResult.Responded -> outcomeOf(transaction, callResult.value, attempt)
                is CallResult.NoResponse -> resolve(transaction)
            }
            if (outcome != null) return outcome
        }
        return unknown("The table service gave no answer to ${settings.commitAttempts} attempts.")
    }

    private suspend fun sendCommit(transaction: Transaction): CallResult<CommitResult> {
        counts.commits.increment()
        counts.reads.add(transaction.conditions.size.toLong())
        counts.writes.add(transaction.writes.size.toLong())
        return send(transaction.conditions.size, transaction.writes.size) { service.commit(transaction) }
    }

    private fun refused(callResult: CallResult.Refused, attempt: Int): CommitOutcome = when (attempt) {
        0 -> CommitOutcome.NotSent(callResult.message, synchronized(breaker) { breaker.retryAfter(clock.now()) })
        else -> unknown(callResult.message)
    }

    private fun outcomeOf(transaction: Transaction, result: CommitResult, attempt: Int): CommitOutcome {
        if (attempt > 0) counts.settled.increment()
        return when (result) {
            is CommitResult.Committed -> CommitOutcome.Committed
            is CommitResult.Conflict -> conflict(transaction, result, attempt)
        }
    }

    /** A transaction that was sent again may conflict with the write of its own earlier attempt. */
    private fun conflict(transaction: Transaction, result: CommitResult.Conflict, attempt: Int): CommitOutcome {
        val isOwnWrite = result.current.any { it.operation == transaction.operation }
        if (isOwnWrite) return CommitOutcome.Committed
        if (attempt == 0) return CommitOutcome.Conflict(result.current)
        return when (commitEvidence(transaction, result.current)) {
            CommitEvidence.EXCLUDED -> CommitOutcome.Conflict(result.current)
            else -> unknown("The rows were written again before the lost answer could be settled.")
        }
    }

    /** The outcome of a lost commit, judged by the stored rows; null when the transaction must be sent again. */
    private suspend fun resolve(transaction: Transaction): CommitOutcome? {
        val keys = (transaction.conditions.map { it.key } + transaction.writes.map { it.key }).distinct()
        val rows = read(keys).getOrNull() ?: return unknown("The table service does not answer.")
        return when (commitEvidence(transaction, rows)) {
            CommitEvidence.OPEN -> null
            CommitEvidence.UNKNOWN -> unknown("The rows were written again before the lost answer could be settled.")
            CommitEvidence.APPLIED -> CommitOutcome.Committed.also { counts.settled.increment() }
            CommitEvidence.EXCLUDED -> CommitOutcome.Conflict(rows).also { counts.settled.increment() }
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
    ): CallResult<T> {
        if (!waitForBudget(reads, writes)) {
            counts.refusedByBudget.increment()
            return CallResult.Refused("This node has used up its share of the table service; try again later.")
        }
        if (!synchronized(breaker) { breaker.admit(clock.now()) }) {
            counts.refusedByBreaker.increment()
            return CallResult.Refused("The table service does not answer; try again later.")
        }
        val value = withTimeoutOrNull(settings.callTimeout) { call().getOrNull() }
        return if (value == null) recordNoResponse() else recordResponse(value)
    }

    private suspend fun waitForBudget(reads: Int, writes: Int): Boolean {
        val now = clock.now()
        val readWait = synchronized(readBudget) { readBudget.reserve(reads, settings.maxBudgetWait, now) }
        val writeWait = synchronized(writeBudget) { writeBudget.reserve(writes, settings.maxBudgetWait, now) }
        if (readWait == null || writeWait == null) return false
        val wait = maxOf(readWait, writeWait)
        if (wait.isPositive()) delay(wait)
        return true
    }

    private fun recordNoResponse(): CallResult<Nothing> {
        counts.failures.increment()
        synchronized(breaker) { breaker.recordFailure(clock.now()) }
        return CallResult.NoResponse
    }

    private fun <T : Any> recordResponse(value: T): CallResult<T> {
        synchronized(breaker) { breaker.recordSuccess() }
        return CallResult.Responded(value)
    }

    private fun <T : Any> toEither(callResult: CallResult<T>): Either<StoreUnavailable, T> = when (callResult) {
        is CallResult.Responded -> callResult.value.right()
        is CallResult.NoResponse -> StoreUnavailable("The table service gave no answer.").left()
        is CallResult.Refused -> StoreUnavailable(callResult.message).left()
    }

    private fun bucket(perSecond: Double) = TokenBucket(perSecond, perSecond * settings.burstSeconds)

    private sealed interface CallResult<out T : Any> {
        data class Responded<T : Any>(val value: T) : CallResult<T>

        data object NoResponse : CallResult<Nothing>

        data class Refused(val message: String) : CallResult<Nothing>
    }

    private companion object {
        const val RESTORED = "The table service was restored from an older copy; read the rows again."
    }
}
