package org.persimmonrelay.peer

import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.ssl.SslContext
import org.persimmonrelay.clock.Moment
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** A channel to one peer. [lastResponse] is the time of the last response headers, or when it was opened. */
internal class PeerChannel(val channel: ManagedChannel, @Volatile var lastResponse: Moment)

/**
 * One channel for each peer address. A channel is stalled if a call timed out and no response has arrived since that
 * call began. A stalled channel is replaced; the peer itself is not treated as failed.
 */
internal class PeerChannels(private val tls: SslContext?, private val group: EventLoopGroup) {
    private val channels = ConcurrentHashMap<Target, PeerChannel>()

    val size: Int get() = channels.size

    fun channelTo(host: String, port: Int, now: Moment): PeerChannel =
        channels.computeIfAbsent(Target(host, port)) { PeerChannel(open(it), now) }

    /** Removes [stalled] if it got no response since [since]. Returns whether this call removed it. */
    fun replaceIfStalled(host: String, port: Int, stalled: PeerChannel, since: Moment): Boolean {
        if (stalled.lastResponse > since) return false
        if (!channels.remove(Target(host, port), stalled)) return false
        stalled.channel.shutdown()
        group.schedule({ stalled.channel.shutdownNow() }, SHUTDOWN_GRACE_SECONDS, TimeUnit.SECONDS)
        return true
    }

    fun close() {
        channels.values.forEach { it.channel.shutdownNow() }
        channels.clear()
    }

    private fun open(target: Target): ManagedChannel {
        val builder =
            NettyChannelBuilder.forAddress(java.net.InetSocketAddress(target.host, target.port))
                .channelType(NioSocketChannel::class.java)
                .eventLoopGroup(group)
                .directExecutor()
                .disableRetry()
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .flowControlWindow(WINDOW_BYTES)
                .keepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEPALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .idleTimeout(IDLE_MINUTES, TimeUnit.MINUTES)
        if (tls == null) return builder.usePlaintext().build()
        return builder.sslContext(tls).overrideAuthority(PeerTls.NODE_NAME).build()
    }

    private data class Target(val host: String, val port: Int)

    companion object {
        const val MAX_MESSAGE_BYTES = 4 * 1024 * 1024
        const val WINDOW_BYTES = 1024 * 1024
        const val KEEPALIVE_SECONDS = 10L
        const val KEEPALIVE_TIMEOUT_SECONDS = 3L
        const val IDLE_MINUTES = 5L
        const val SHUTDOWN_GRACE_SECONDS = 30L
    }
}
