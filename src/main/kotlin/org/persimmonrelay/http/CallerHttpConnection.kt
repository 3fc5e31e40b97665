package org.persimmonrelay.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import java.io.ByteArrayOutputStream

/** A caller's connection. Reads requests, handles them one at a time and writes the responses in order. */
internal class CallerHttpConnection(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val limits: ConnectionLimits,
    private val rejectionRenderer: RejectionRenderer,
    private val handler: CallerHandler,
    private val isDraining: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private val pending = ArrayDeque<Exchange>()
    private val writable = Channel<Unit>(Channel.CONFLATED)
    private var partialRequest: HttpRequest? = null
    private var body = ByteArrayOutputStream(0)
    private var running: RunningExchange? = null
    private var ignoresInput = false
    private lateinit var context: ChannelHandlerContext

    val isBusy: Boolean
        get() = running != null || partialRequest != null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    fun closeIfIdle() {
        if (!isBusy && pending.isEmpty()) context.close()
    }

    fun requestTimedOut(context: ChannelHandlerContext) = reject(RequestRejection.SLOW).also { context.read() }

    fun idleTimedOut(context: ChannelHandlerContext) {
        if (!isBusy) context.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!ignoresInput && message is HttpObject) accept(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(message: HttpObject) {
        val failure = message.decoderResult().cause()
        if (failure != null) return reject(rejectionFor(failure))
        if (message is HttpRequest) startRequest(message)
        if (message is HttpContent && partialRequest != null) appendBody(message)
    }

    private fun rejectionFor(failure: Throwable) =
        if (failure is TooLongFrameException) RequestRejection.HEADER_TOO_LARGE else RequestRejection.MALFORMED

    private fun startRequest(request: HttpRequest) {
        if (request.headers().getAll(HttpHeaderNames.HOST).size != 1) return reject(RequestRejection.MALFORMED)
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes) return reject(RequestRejection.BODY_TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        partialRequest = request
        // Grows as bytes arrive: a claimed length must not take memory.
        body = ByteArrayOutputStream()
        timer().body(context)
    }

    private fun appendBody(content: HttpContent) {
        if (body.size() + content.content().readableBytes() > limits.bodyBytes) {
            return reject(RequestRejection.BODY_TOO_LARGE)
        }
        content.content().readBytes(body, content.content().readableBytes())
        if (content !is LastHttpContent) return
        val request = partialRequest ?: return
        partialRequest = null
        timer().busy()
        pending.addLast(Exchange(request, body.toByteArray(), clock.now()))
        if (pending.size >= MAX_PIPELINED) context.channel().config().isAutoRead = false
        startNext()
    }

    private fun startNext() {
        if (running != null) return
        val exchange = pending.removeFirstOrNull() ?: return
        context.channel().config().isAutoRead = true
        val job = scope.launch(start = CoroutineStart.LAZY) { handler.handle(exchange) }
        running = RunningExchange(exchange, job)
        job.invokeOnCompletion { failure -> context.executor().execute { onCompleted(exchange, failure) } }
        job.start()
    }

    private fun onCompleted(exchange: Exchange, failure: Throwable?) {
        running = null
        if (!context.channel().isActive) return
        if (failure != null || !exchange.isDone) return exchange.abort()
        if (pending.isEmpty() && partialRequest == null) timer().idle(context)
        startNext()
    }

    private fun reject(rejection: RequestRejection) {
        if (ignoresInput) return
        ignoreInput()
        if (running != null) {
            closeWithinResponse()
        } else {
            write(rejectionRenderer.render(rejection), closeAfter = true, isHead = false)
        }
    }

    private fun ignoreInput() {
        ignoresInput = true
        partialRequest = null
        pending.clear()
    }

    /** Closes the connection so that a response under way does not look complete to the caller. */
    private fun closeWithinResponse() {
        val exchange = running?.exchange
        if (exchange != null && exchange.isResponseUnderWay) exchange.abort() else context.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) writable.trySend(Unit)
    }

    private suspend fun awaitWritable() {
        while (context.channel().isActive && !context.channel().isWritable) writable.receive()
    }

    private fun timer() = context.pipeline().get(RequestTimer::class.java)

    override fun channelInactive(context: ChannelHandlerContext) {
        pending.clear()
        running?.job?.cancel()
    }

    @Deprecated("Deprecated in Netty's base interface.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        running?.job?.cancel()
        closeWithinResponse()
    }

    private fun write(callerResponse: CallerResponse, closeAfter: Boolean, isHead: Boolean) {
        val status = HttpResponseStatus.valueOf(callerResponse.status)
        val bytes = if (isHead) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(callerResponse.body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes)
        response.headers().set(callerResponse.headers)
        if (!isHead &&
            callerResponse.status !in BODYLESS_STATUSES
        ) {
            HttpUtil.setContentLength(response, callerResponse.body.size.toLong())
        }
        if (closeAfter) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = context.writeAndFlush(response)
        if (closeAfter) written.addListener(ChannelFutureListener.CLOSE)
    }

    /** A request that [job] handles. */
    private class RunningExchange(val exchange: Exchange, val job: Job)

    private inner class Exchange(
        private val request: HttpRequest,
        override val body: ByteArray,
        override val arrivedAt: Moment,
    ) : CallerExchange {
        override val head = CallerHead(request.method().name(), request.uri(), request.headers())
        private val keepAlive = HttpUtil.isKeepAlive(request)

        /** HTTP/1.0 has no chunks; there the end of the connection ends a response without a length. */
        private val acceptsChunks = request.protocolVersion() >= HttpVersion.HTTP_1_1
        private var closeAtEnd = false
        override var isResponseStarted = false
            private set
        var isDone = false
            private set
        val isResponseUnderWay: Boolean
            get() = isResponseStarted && !isDone

        override fun respond(response: CallerResponse) {
            isResponseStarted = true
            isDone = true
            write(
                response,
                closeAfter = response.closesConnection || !keepAlive || isDraining(),
                isHead = head.method == HEAD,
            )
        }

        override fun startResponse(status: Int, headers: HttpHeaders) {
            isResponseStarted = true
            closeAtEnd = !acceptsChunks || !keepAlive || isDraining()
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            response.headers().set(headers)
            if (acceptsChunks) HttpUtil.setTransferEncodingChunked(response, true) else resetWhenClosed(true)
            if (closeAtEnd) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            context.writeAndFlush(response)
        }

        override fun write(bytes: ByteArray) {
            context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override suspend fun awaitWritable() = this@CallerHttpConnection.awaitWritable()

        override fun endResponse() {
            isDone = true
            val written = context.writeAndFlush(DefaultLastHttpContent())
            if (!closeAtEnd) return
            ignoreInput()
            written.addListener {
                // Until all bytes are with the system, a close would be taken for the end of the response.
                if (it.isSuccess) resetWhenClosed(false)
                context.close()
            }
        }

        override fun abort() {
            isDone = true
            resetWhenClosed(true)
            context.close()
        }

        /** Sets whether the connection is reset when it is closed, also by the system if the process is killed. */
        private fun resetWhenClosed(isReset: Boolean) {
            if (!context.channel().isOpen) return
            context.channel().config().setOption(ChannelOption.SO_LINGER, if (isReset) 0 else LINGER_DISABLED)
        }
    }

    private companion object {
        /** Number of requests waiting on a connection at which reading from it pauses. */
        const val MAX_PIPELINED = 16

        /** Value of SO_LINGER with which a closed connection ends after all that was written. */
        const val LINGER_DISABLED = -1
        val HEAD: String = HttpMethod.HEAD.name()
        val BODYLESS_STATUSES = setOf(204, 304)
    }
}
