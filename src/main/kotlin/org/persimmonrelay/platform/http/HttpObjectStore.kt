package org.persimmonrelay.platform.http

import arrow.core.Either
import io.ktor.http.encodeURLPathPart
import io.ktor.http.encodeURLQueryComponent
import org.persimmonrelay.platform.ObjectStore
import org.persimmonrelay.platform.StoreUnavailable

/** [ObjectStore] over HTTP at the URL [base]. */
public class HttpObjectStore(private val http: PlatformHttpClient, private val base: String) : ObjectStore {
    override suspend fun get(name: String): Either<StoreUnavailable, ByteArray?> = http.getBytes(url(name))

    override suspend fun put(name: String, bytes: ByteArray): Either<StoreUnavailable, Unit> =
        http.putBytes(url(name), bytes)

    override suspend fun list(prefix: String): Either<StoreUnavailable, List<String>> =
        http.get("$base?prefix=${prefix.encodeURLQueryComponent()}", NamesMessage.serializer()).map { it.names }

    override suspend fun delete(name: String): Either<StoreUnavailable, Unit> = http.delete(url(name))

    private fun url(name: String) = "$base/${name.encodeURLPathPart()}"
}
