package org.persimmonrelay.experiment.laws

import arrow.core.Either
import arrow.core.left
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.standin.StandInTable
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.startCoroutine
import kotlin.time.Duration.Companion.seconds

/** The shared [table] as [process] reaches it over the network; a call times out after 2 s. */
internal class VirtualTable(
    private val network: VirtualNetwork,
    private val process: VirtualProcess,
    private val table: StandInTable,
) : TableService {
    override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> = call { table.read(keys) }

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreUnavailable, List<Row>> =
        call { table.scan(prefix, after, limit) }

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> =
        call { table.commit(transaction) }

    private suspend fun <T> call(effect: suspend () -> Either<StoreUnavailable, T>): Either<StoreUnavailable, T> {
        val response = network.call(process, Target.STORE, TIMEOUT) { now(effect) }
        return response ?: StoreUnavailable("The store did not respond.").left()
    }

    private companion object {
        val TIMEOUT = 2.seconds
    }
}

/** Runs [block], which must not suspend, and returns its result. */
internal fun <T : Any> now(block: suspend () -> T): T {
    var result: Result<T>? = null
    block.startCoroutine(Continuation(EmptyCoroutineContext) { result = it })
    return checkNotNull(result) { "The call suspended; the stand-in must have no delay in virtual time." }.getOrThrow()
}
