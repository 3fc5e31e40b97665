package org.persimmonrelay.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlin.time.Duration

/** No connection could be made; nothing of a request was sent. */
public data class ConnectFailure(val message: String)

/** Opens HTTP/1.1 connections whose input and output run on [thread]. */
public class HttpConnector(private val thread: EventLoopThread) {
    /** Connects to [address] within [timeout]; to be called on the connector's thread. */
    public suspend fun connect(address: ServerAddress, timeout: Duration): Either<ConnectFailure, HttpConnection> {
        val inbox = AnswerInbox()
        val bootstrap = Bootstrap()
            .group(thread.loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt().coerceAtLeast(1))
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
            .handler(initializer(inbox))
        val future = bootstrap.connect(address.host, address.port)
        return if (completes(future)) {
            HttpConnection(future.channel(), inbox).right()
        } else {
            ConnectFailure(future.cause()?.message ?: "The attempt to connect was given up.").left()
        }
    }

    private fun initializer(inbox: AnswerInbox) = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpRequestEncoder(), inbox.decoder, inbox)
        }
    }

    private suspend fun completes(future: ChannelFuture): Boolean = suspendCancellableCoroutine { waiting ->
        future.addListener { if (waiting.isActive) waiting.resume(it.isSuccess) }
        waiting.invokeOnCancellation { future.channel().close() }
    }

    private companion object {
        const val KEEPALIVE_IDLE_SECONDS = 2
        const val KEEPALIVE_INTERVAL_SECONDS = 1
        const val KEEPALIVE_PROBES = 2
    }
}
