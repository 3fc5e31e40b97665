package org.persimmonrelay.platform.http

import arrow.core.Either
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction

/** [TableService] over HTTP at the URL [base]. */
public class HttpTableService(private val http: PlatformHttpClient, private val base: String) : TableService {
    override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> = http
        .post("$base/read", ReadMessage(keys), ReadMessage.serializer(), RowsMessage.serializer())
        .map { response -> response.rows.map { it.toRow() } }

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreUnavailable, List<Row>> = http
        .post(
            "$base/scan",
            ScanMessage(prefix, after, limit),
            ScanMessage.serializer(),
            RowsMessage.serializer(),
        ).map { response -> response.rows.map { it.toRow() } }

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> = http
        .post(
            "$base/commit",
            TransactionMessage.of(transaction),
            TransactionMessage.serializer(),
            CommitMessage.serializer(),
        ).map { it.toResult() }
}
