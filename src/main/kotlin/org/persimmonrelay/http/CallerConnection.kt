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
import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import java.io.ByteArrayOutputStream

/** One caller's connection: reads requests, handles them one at a time, writes answers. */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val bounds: ConnectionLimits,
    private val rejects: RejectionRenderer,
    private val handler: CallerHandler,
    private val leaving: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private val waiting = ArrayDeque<Exchange>()
    private var reading: HttpRequest? = null
    private var body = ByteArrayOutputStream(0)
    private var running: Job? = null
    private var refused = false
    private lateinit var context: ChannelHandlerContext

    val isBusy: Boolean
        get() = running != null || reading != null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    fun closeIfIdle() {
        if (!isBusy && waiting.isEmpty()) context.close()
    }

    fun headerTimedOut(context: ChannelHandlerContext) = reject(RequestRejection.SLOW).also { context.read() }

    fun idleTimedOut(context: ChannelHandlerContext) {
        if (!isBusy) context.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!refused && message is HttpObject) accept(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(message: HttpObject) {
        val failure = message.decoderResult().cause()
        if (failure != null) return reject(rejectFor(failure))
        if (message is HttpRequest) begin(message)
        if (message is HttpContent && reading != null) add(message)
    }

    private fun rejectFor(failure: Throwable) =
        if (failure is TooLongFrameException) RequestRejection.HEADER_TOO_LARGE else RequestRejection.MALFORMED

    private fun begin(request: HttpRequest) {
        if (request.headers().getAll(HttpHeaderNames.HOST).size != 1) return reject(RequestRejection.MALFORMED)
        if (HttpUtil.getContentLength(request, 0L) > bounds.bodyBytes) return reject(RequestRejection.BODY_TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        reading = request
        body = ByteArrayOutputStream(HttpUtil.getContentLength(request, 0L).toInt())
        timer().body(context)
    }

    private fun add(content: HttpContent) {
        if (body.size() + content.content().readableBytes() > bounds.bodyBytes) {
            return reject(RequestRejection.BODY_TOO_LARGE)
        }
        content.content().readBytes(body, content.content().readableBytes())
        if (content !is LastHttpContent) return
        val request = reading ?: return
        reading = null
        timer().busy()
        waiting.addLast(Exchange(request, body.toByteArray(), clock.now()))
        if (waiting.size >= MOST_WAITING) context.channel().config().isAutoRead = false
        startNext()
    }

    private fun startNext() {
        if (running != null) return
        val exchange = waiting.removeFirstOrNull() ?: return
        context.channel().config().isAutoRead = true
        val job = scope.launch(start = CoroutineStart.LAZY) { handler.handle(exchange) }
        running = job
        job.invokeOnCompletion { failure -> context.executor().execute { ended(exchange, failure) } }
        job.start()
    }

    private fun ended(exchange: Exchange, failure: Throwable?) {
        running = null
        if (!context.channel().isActive) return
        if (failure != null || !exchange.isDone) return exchange.abort()
        if (waiting.isEmpty() && reading == null) timer().idle(context)
        startNext()
    }

    private fun reject(reject: RequestRejection) {
        if (refused) return
        refused = true
        reading = null
        if (running != null) {
            context.close()
        } else {
            write(rejects.answer(reject), closes = true, isHead = false)
        }
    }

    private fun timer() = context.pipeline().get(HeaderTimer::class.java)

    override fun channelInactive(context: ChannelHandlerContext) {
        waiting.clear()
        running?.cancel()
    }

    @Deprecated("Netty's name for it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        running?.cancel()
        context.close()
    }

    private fun write(answer: CallerResponse, closes: Boolean, isHead: Boolean) {
        val status = HttpResponseStatus.valueOf(answer.status)
        val bytes = if (isHead) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(answer.body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes)
        response.headers().set(answer.headers)
        if (!isHead &&
            answer.status !in BODYLESS_STATUSES
        ) {
            HttpUtil.setContentLength(response, answer.body.size.toLong())
        }
        if (closes) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = context.writeAndFlush(response)
        if (closes) written.addListener(ChannelFutureListener.CLOSE)
    }

    private inner class Exchange(
        private val request: HttpRequest,
        override val body: ByteArray,
        override val arrivedAt: Moment,
    ) : CallerExchange {
        override val head = CallerHead(request.method().name(), request.uri(), request.headers())
        private val keepsAlive = HttpUtil.isKeepAlive(request)
        private var closesAtEnd = false
        override var isResponseStarted = false
            private set
        var isDone = false
            private set

        override fun respond(response: CallerResponse) {
            isResponseStarted = true
            isDone = true
            write(response, closes = response.closes || !keepsAlive || leaving(), isHead = head.method == HEAD)
        }

        override fun startResponse(status: Int, headers: HttpHeaders, framing: CallerFraming) {
            isResponseStarted = true
            closesAtEnd = framing == CallerFraming.UNTIL_CLOSE || !keepsAlive || leaving()
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            response.headers().set(headers)
            if (framing == CallerFraming.CHUNKED) HttpUtil.setTransferEncodingChunked(response, true)
            if (closesAtEnd) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            context.writeAndFlush(response)
        }

        override fun write(bytes: ByteArray) {
            context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override fun endResponse() {
            isDone = true
            val written = context.writeAndFlush(DefaultLastHttpContent())
            if (closesAtEnd) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun abort() {
            isDone = true
            if (!context.channel().isOpen) return
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0)
            context.close()
        }
    }

    private companion object {
        const val MOST_WAITING = 16
        val HEAD: String = HttpMethod.HEAD.name()
        val BODYLESS_STATUSES = setOf(204, 304)
    }
}
