package org.persimmonrelay.http

import io.netty.channel.EventLoop
import io.netty.channel.IoEventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.slf4j.LoggerFactory

/** A single thread that runs the input and output of its connections and the coroutines of [scope]. */
public class EventLoopThread(name: String) : AutoCloseable {
    private val failures = CoroutineExceptionHandler { _, failure ->
        LOGGER.error("A coroutine on thread {} failed with an unexpected error.", name, failure)
    }

    internal val group: IoEventLoopGroup =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory(name, true), NioIoHandler.newFactory())
    internal val loop: EventLoop = group.next()

    /** Runs coroutines on the thread. */
    public val dispatcher: CoroutineDispatcher = loop.asCoroutineDispatcher()

    /** Runs coroutines one at a time between suspension points, so state used only by them needs no lock. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher + failures)

    override fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private companion object {
        val LOGGER = LoggerFactory.getLogger(EventLoopThread::class.java)
    }
}
