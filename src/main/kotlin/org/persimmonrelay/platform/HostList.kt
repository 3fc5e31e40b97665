package org.persimmonrelay.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId

/** State of a host in the platform's host list, which lags behind the actual state. */
@Serializable
public enum class HostState { LIVE, LEAVING }

/** One entry of the host list. [address] is `ip:port`. */
@Serializable
public data class Host(
    val server: ServerId,
    val address: String,
    val domain: FailureDomain,
    val region: String,
    val price: PriceClass,
    val state: HostState,
    val incarnation: String,
)

/** The platform's list of the hosts that run backend servers. Removed hosts are not listed. */
public fun interface HostList {
    public suspend fun hosts(): Either<StoreUnavailable, List<Host>>
}
