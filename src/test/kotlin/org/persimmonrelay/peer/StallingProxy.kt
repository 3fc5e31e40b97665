package org.persimmonrelay.peer

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Forwards TCP connections to [targetPort]. [stallOpenConnections] makes the connections open at that time drop all
 * data without being closed; later connections work.
 */
class StallingProxy(private val targetPort: Int) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<Connection>()

    val port: Int get() = listener.localPort
    val accepted = AtomicInteger()

    init {
        thread(isDaemon = true) { runCatching { while (true) accept(listener.accept()) } }
    }

    fun stallOpenConnections() {
        connections.forEach { it.isStalled = true }
    }

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }

    private fun accept(client: Socket) {
        accepted.incrementAndGet()
        val connection = Connection(client, Socket(InetAddress.getLoopbackAddress(), targetPort))
        connections += connection
        thread(isDaemon = true) { connection.copy(client, connection.server) }
        thread(isDaemon = true) { connection.copy(connection.server, client) }
    }

    private class Connection(val client: Socket, val server: Socket) {
        @Volatile
        var isStalled = false

        fun copy(from: Socket, to: Socket) {
            val buffer = ByteArray(BUFFER_BYTES)
            runCatching {
                while (true) {
                    val count = from.getInputStream().read(buffer)
                    if (count < 0) break
                    if (!isStalled) to.getOutputStream().write(buffer, 0, count)
                }
            }
        }

        fun close() {
            client.close()
            server.close()
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 8192
    }
}
