package org.persimmonrelay.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.suspendCancellableCoroutine
import org.persimmonrelay.clock.Clock
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Bounds of what a caller may send, as read when a connection is opened, in bytes and milliseconds. */
public data class ConnectionLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** Listens on [address] and passes each whole request to [handler], one at a time a connection. */
public class CallerServer(
    private val thread: EventLoopThread,
    private val address: ServerAddress,
    private val clock: Clock,
    private val bounds: () -> ConnectionLimits,
    private val rejects: RejectionRenderer,
    private val handler: CallerHandler,
) {
    private val connections = DefaultChannelGroup(thread.loop)
    private var listening: Channel? = null

    /** Set while the node leaves: answers then ask callers to close. */
    @Volatile
    private var leaving = false

    /** Begins to listen; throws when the address can't be bound. Returns the port. */
    public suspend fun start(): Int {
        val bootstrap = ServerBootstrap()
            .group(thread.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer())
        val future = bootstrap.bind(address.host, address.port)
        suspendCancellableCoroutine { waiting ->
            future.addListener {
                if (it.isSuccess) waiting.resume(Unit) else waiting.resumeWithException(it.cause())
            }
        }
        listening = future.channel()
        return (future.channel().localAddress() as java.net.InetSocketAddress).port
    }

    /** From now on each answer tells its caller that the connection ends. */
    public fun announceLeaving() {
        leaving = true
    }

    /** Closes connections without a request; callers open others elsewhere. To be called on the server's thread. */
    public fun closeIdle() {
        connections.forEach { it.pipeline().get(CallerConnection::class.java)?.closeIfIdle() }
    }

    /** Requests in hand. To be called on the server's thread. */
    public fun openRequests(): Int =
        connections.count { it.pipeline().get(CallerConnection::class.java)?.isBusy == true }

    /** Takes no more connections. */
    public fun stopListening() {
        listening?.close()
    }

    private fun initializer() = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            connections.add(channel)
            val limits = bounds()
            val connection = CallerConnection(thread.scope, clock, limits, rejects, handler) { leaving }
            channel.pipeline().addLast(
                HeaderTimer(limits, connection::headerTimedOut, connection::idleTimedOut),
                StrictRequestDecoder(limits.headerBytes),
                HttpResponseEncoder(),
                connection,
            )
        }
    }

    private companion object {
        const val BACKLOG = 1024
    }
}
