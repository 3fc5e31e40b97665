package org.persimmonrelay.measure

import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** Callers that open a chat completion stream, read its first bytes and then leave it open without reading. */
internal class IdleStreams(private val port: Int) : AutoCloseable {
    private val open = ArrayList<SocketChannel>()
    private val buffer = ByteBuffer.allocate(BUFFER_BYTES)

    /** Opens streams until [count] are open. Throws [IOException] if the node closes one before it sends data. */
    fun growTo(count: Int) {
        while (open.size < count) {
            val batch = List(minOf(BATCH_SIZE, count - open.size)) { openStream() }
            batch.forEach(::awaitFirstBytes)
            open += batch
        }
    }

    override fun close() {
        open.forEach { it.close() }
        open.clear()
    }

    private fun openStream(): SocketChannel {
        val channel = SocketChannel.open(InetSocketAddress("127.0.0.1", port))
        val body = """{"model":"${BenchCatalog.MODEL}","stream":true,"messages":[{"role":"user","content":"hello"}]}"""
        val head =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer ${BenchCatalog.KEY}\r\n" +
                "Content-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n"
        channel.write(ByteBuffer.wrap((head + body).encodeToByteArray()))
        return channel
    }

    private fun awaitFirstBytes(channel: SocketChannel) {
        buffer.clear()
        if (channel.read(buffer) <= 0) throw IOException("The node closed an idle stream.")
    }

    private companion object {
        const val BUFFER_BYTES = 8 * 1024
        const val BATCH_SIZE = 100
    }
}
