package org.persimmonrelay.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Limits how long a connection is idle and how long a request's head or body takes to arrive. Placed before the decoder
 * in the pipeline, so that partial heads count. [CallerHttpConnection] calls [idle], [body] and [busy].
 */
internal class RequestTimer(
    private val limits: ConnectionLimits,
    private val requestTimedOut: (ChannelHandlerContext) -> Unit,
    private val idleTimedOut: (ChannelHandlerContext) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var timer: ScheduledFuture<*>? = null
    private var state = State.IDLE

    private enum class State { IDLE, HEAD, BODY, BUSY }

    /** Starts the idle timeout: the connection waits for a request. */
    fun idle(context: ChannelHandlerContext) {
        state = State.IDLE
        start(context, limits.idleTimeoutMillis, idleTimedOut)
    }

    /** Starts the body timeout: the head is complete and the body follows. */
    fun body(context: ChannelHandlerContext) {
        state = State.BODY
        start(context, limits.idleTimeoutMillis, requestTimedOut)
    }

    /** Stops the timer: a complete request is being handled. */
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
            start(context, limits.headerTimeoutMillis, requestTimedOut)
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
