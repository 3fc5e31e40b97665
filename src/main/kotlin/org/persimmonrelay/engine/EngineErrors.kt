package org.persimmonrelay.engine

import io.ktor.client.network.sockets.ConnectTimeoutException
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** Separates failures to connect from failures after bytes may have been sent. */
internal object EngineErrors {
    /** True when no connection was established, so that no byte of the request can have been sent. */
    fun isConnectFailure(error: Throwable): Boolean =
        error is ConnectException || error is ConnectTimeoutException || error is UnresolvedAddressException

    fun of(address: EngineAddress, error: IOException): EngineFailure = if (isConnectFailure(error)) {
        EngineFailure.NotSent("Could not connect to engine ${address.value}: ${error.message}")
    } else {
        EngineFailure.RequestFailed("The connection to engine ${address.value} failed: ${error.message}")
    }
}
