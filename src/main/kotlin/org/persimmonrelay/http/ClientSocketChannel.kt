package org.persimmonrelay.http

import io.netty.channel.socket.nio.NioSocketChannel
import org.slf4j.LoggerFactory
import java.io.IOException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

/** A channel to a server that also tells of a reset that came after the end of the server's output. */
internal class ClientSocketChannel : NioSocketChannel() {
    /** True if the connection has failed, or can't be examined. Reads do not tell once the input has ended. */
    fun hasFailed(): Boolean = try {
        Selector.open().use(::hasErrorPending)
    } catch (e: IOException) {
        LOGGER.warn("A connection could not be examined.", e)
        true
    }

    /** The operation is ready on a connected channel only if an error is pending. */
    private fun hasErrorPending(selector: Selector): Boolean {
        javaChannel().register(selector, SelectionKey.OP_CONNECT)
        return selector.selectNow() > 0
    }

    private companion object {
        val LOGGER = LoggerFactory.getLogger(ClientSocketChannel::class.java)
    }
}
