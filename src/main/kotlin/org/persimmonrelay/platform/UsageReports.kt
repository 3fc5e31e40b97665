package org.persimmonrelay.platform

import arrow.core.Either
import kotlinx.serialization.Serializable

/** The figures of one workspace in one window, as billed. */
@Serializable
public data class UsageReport(
    val window: String,
    val workspace: String,
    val promptTokens: Long,
    val outputTokens: Long,
    val requests: Long,
    val adjustmentOf: String? = null,
)

/** The interface that takes usage reports. A repeated window must carry the very same [body]. */
public fun interface UsageReports {
    public suspend fun report(window: String, epoch: Long, body: String): Either<StoreUnavailable, Unit>
}
