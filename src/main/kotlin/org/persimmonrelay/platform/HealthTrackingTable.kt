package org.persimmonrelay.platform

import arrow.core.Either
import org.persimmonrelay.clock.Clock

/**
 * Tells [health] how the calls to [service] end. A single failed call is no sign of an outage, because the store loses
 * some responses; [FAILURES_OF_OUTAGE] in a row are. Confined to the control thread.
 */
public class HealthTrackingTable(
    private val service: TableService,
    private val health: StoreHealth,
    private val clock: Clock,
) : TableService {
    private var failuresInRow = 0

    override val restores: Long
        get() = service.restores

    override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> = track(service.read(keys))

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreUnavailable, List<Row>> =
        track(service.scan(prefix, after, limit))

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> =
        track(service.commit(transaction))

    private fun <T> track(result: Either<StoreUnavailable, T>): Either<StoreUnavailable, T> {
        result.fold({ onFailure(it) }, { onSuccess() })
        return result
    }

    private fun onSuccess() {
        failuresInRow = 0
        health.recordSuccess(clock.now())
    }

    private fun onFailure(failure: StoreUnavailable) {
        failuresInRow++
        if (failuresInRow >= FAILURES_OF_OUTAGE) health.recordFailure(failure.message, clock.now())
    }

    private companion object {
        const val FAILURES_OF_OUTAGE = 2
    }
}
