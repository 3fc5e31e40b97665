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

/** Limits on callers' requests, in bytes and milliseconds. Read when a connection is opened. */
public data class ConnectionLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** Listens on [address] and passes each complete request to [handler], one at a time for each connection. */
public class CallerServer(
    private val thread: EventLoopThread,
    private val address: ServerAddress,
    private val clock: Clock,
    private val limits: () -> ConnectionLimits,
    private val rejectionRenderer: RejectionRenderer,
    private val handler: CallerHandler,
) {
    private val connections = DefaultChannelGroup(thread.loop)
    private var listener: Channel? = null

    /** Set during shutdown: responses then ask callers to close the connection. */
    @Volatile
    private var isDraining = false

    /** Starts to listen and returns the port. Throws when the address can't be bound. */
    public suspend fun start(): Int {
        val bootstrap = ServerBootstrap()
            .group(thread.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer())
        val future = bootstrap.bind(address.host, address.port)
        suspendCancellableCoroutine { continuation ->
            future.addListener {
                if (it.isSuccess) continuation.resume(Unit) else continuation.resumeWithException(it.cause())
            }
        }
        listener = future.channel()
        return (future.channel().localAddress() as java.net.InetSocketAddress).port
    }

    /** From now on each response closes its connection. */
    public fun startDraining() {
        isDraining = true
    }

    /**
     * Closes connections without a request, so that callers reconnect to other nodes. To be called on the server's
     * thread.
     */
    public fun closeIdle() {
        connections.forEach { it.pipeline().get(CallerHttpConnection::class.java)?.closeIfIdle() }
    }

    /** Number of connections with a request in progress. To be called on the server's thread. */
    public fun activeRequests(): Int =
        connections.count { it.pipeline().get(CallerHttpConnection::class.java)?.isBusy == true }

    /** Stops accepting connections. */
    public fun stopListening() {
        listener?.close()
    }

    private fun initializer() = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            connections.add(channel)
            val connectionLimits = limits()
            val connection =
                CallerHttpConnection(thread.scope, clock, connectionLimits, rejectionRenderer, handler) { isDraining }
            channel.pipeline().addLast(
                RequestTimer(connectionLimits, connection::requestTimedOut, connection::idleTimedOut),
                StrictRequestDecoder(connectionLimits.headerBytes),
                HttpResponseEncoder(),
                connection,
            )
        }
    }

    private companion object {
        const val BACKLOG = 1024
    }
}
