package org.persimmonrelay.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Watches how long a connection is idle and how long a request's head or body takes to arrive. Stands before the
 * decoder and sees raw bytes. [CallerConnection] says when it waits for a request and when it has one.
 */
internal class HeaderTimer(
    private val bounds: ConnectionLimits,
    private val headerTimedOut: (ChannelHandlerContext) -> Unit,
    private val idleTimedOut: (ChannelHandlerContext) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var timer: ScheduledFuture<*>? = null
    private var state = State.IDLE

    private enum class State { IDLE, HEAD, BODY, BUSY }

    /** The connection waits for a request. */
    fun idle(context: ChannelHandlerContext) {
        state = State.IDLE
        start(context, bounds.idleTimeoutMillis, idleTimedOut)
    }

    /** A head is complete; its body follows. */
    fun body(context: ChannelHandlerContext) {
        state = State.BODY
        start(context, bounds.idleTimeoutMillis, headerTimedOut)
    }

    /** A whole request is being handled. */
    fun busy() {
        state = State.BUSY
        timer?.cancel(false)
    }

    override fun channelActive(context: ChannelHandlerContext) {
        idle(context)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (state == State.IDLE) {
            state = State.HEAD
            start(context, bounds.headerTimeoutMillis, headerTimedOut)
        }
        context.fireChannelRead(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        context.fireChannelInactive()
    }

    private fun start(context: ChannelHandlerContext, millis: Long, action: (ChannelHandlerContext) -> Unit) {
        timer?.cancel(false)
        timer = context.executor().schedule({ action(context) }, millis, TimeUnit.MILLISECONDS)
    }
}
