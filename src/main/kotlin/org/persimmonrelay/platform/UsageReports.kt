package org.persimmonrelay.platform

import arrow.core.Either
import kotlinx.serialization.Serializable

/** Billed usage of one workspace in one window. [adjustmentOf] is the earlier window to which late usage belongs. */
@Serializable
public data class UsageReport(
    val window: String,
    val workspace: String,
    val promptTokens: Long,
    val outputTokens: Long,
    val requests: Long,
    val adjustmentOf: String? = null,
)

/** The platform's interface for usage reports. A report that is sent again must have an identical body. */
public fun interface UsageReports {
    public suspend fun report(window: String, epoch: Long, body: String): Either<StoreUnavailable, Unit>
}
