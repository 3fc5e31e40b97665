package org.persimmonrelay.platform.http

import arrow.core.Either
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.StoreUnavailable

/** [HostList] over HTTP at the URL [base]. */
public class HttpHostList(private val http: PlatformHttpClient, private val base: String) : HostList {
    override suspend fun hosts(): Either<StoreUnavailable, List<Host>> =
        http.get(base, HostsMessage.serializer()).map { it.hosts }
}
