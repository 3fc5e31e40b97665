package org.persimmonrelay.platform.http

import arrow.core.Either
import kotlinx.serialization.json.JsonElement
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.UsageReports

/** [UsageReports] over HTTP at the URL [base]. */
public class HttpUsageReports(private val http: PlatformHttpClient, private val base: String) : UsageReports {
    override suspend fun report(window: String, epoch: Long, body: String): Either<StoreUnavailable, Unit> = http
        .post(base, UsageMessage(window, epoch, body), UsageMessage.serializer(), JsonElement.serializer())
        .map { }
}
