package org.persimmonrelay.engine

import io.ktor.client.network.sockets.ConnectTimeoutException
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** Tells failures before the first byte from those after it. */
internal object EngineErrors {
    /** True when no connection was made, so that no byte of the request can have left. */
    fun isBeforeSending(error: Throwable): Boolean =
        error is ConnectException || error is ConnectTimeoutException || error is UnresolvedAddressException

    fun of(address: EngineAddress, error: IOException): EngineFailure = if (isBeforeSending(error)) {
        EngineFailure.NotSent("No connection to engine ${address.value}: ${error.message}")
    } else {
        EngineFailure.RequestFailed("The connection to engine ${address.value} broke: ${error.message}")
    }
}
