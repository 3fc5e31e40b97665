package org.persimmonrelay.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.ssl.SslContext
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.suspendCancellableCoroutine
import org.persimmonrelay.clock.Clock
import java.net.ConnectException
import kotlin.coroutines.resume
import kotlin.time.Duration

/**
 * The connection could not be opened; no part of a request was sent. [isRefused] when the host answered that nothing
 * listens at the address, which tells that the server's process has ended.
 */
public data class ConnectFailure(val message: String, val isRefused: Boolean = false)

/** Certificates to trust and the [name] that a server's certificate must have. */
public class TlsServer(internal val context: SslContext, internal val name: String)

/** Opens HTTP/1.1 connections whose input and output run on [thread], encrypted if [tls] is given. */
public class HttpConnector(
    private val thread: EventLoopThread,
    private val clock: Clock,
    private val tls: TlsServer? = null,
) {
    /** Connects to [address] within [timeout]. To be called on the connector's thread. */
    public suspend fun connect(address: ServerAddress, timeout: Duration): Either<ConnectFailure, HttpConnection> {
        val responses = ResponseHandler(clock)
        val bootstrap = Bootstrap()
            .group(thread.loop)
            .channelFactory(::ClientSocketChannel)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt().coerceAtLeast(1))
            // The rest of a request is still written after the server has ended its output.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
            .handler(initializer(address, responses))
        val future = bootstrap.connect(address.host, address.port)
        return if (awaitSuccess(future)) {
            HttpConnection(future.channel(), responses).right()
        } else {
            failure(future.cause()).left()
        }
    }

    private fun failure(cause: Throwable?) = ConnectFailure(
        message = cause?.message ?: "The connection attempt was cancelled.",
        isRefused = cause is ConnectException && cause !is ConnectTimeoutException,
    )

    private fun initializer(address: ServerAddress, responses: ResponseHandler) =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                tls?.let { channel.pipeline().addLast(it.context.newHandler(channel.alloc(), it.name, address.port)) }
                channel.pipeline().addLast(HttpRequestEncoder(), responses.decoder, responses)
            }
        }

    private suspend fun awaitSuccess(future: ChannelFuture): Boolean = suspendCancellableCoroutine { continuation ->
        future.addListener { if (continuation.isActive) continuation.resume(it.isSuccess) }
        continuation.invokeOnCancellation { future.channel().close() }
    }

    private companion object {
        const val KEEPALIVE_IDLE_SECONDS = 2
        const val KEEPALIVE_INTERVAL_SECONDS = 1
        const val KEEPALIVE_PROBES = 2
    }
}
