package org.persimmonrelay.cli

import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Blocks a command until the process receives SIGINT or SIGTERM. */
internal object ShutdownSignal {
    private val LOGGER = LoggerFactory.getLogger(ShutdownSignal::class.java)

    /**
     * Waits for the signal, then calls [shutDown]. The process exits when that has returned, or after [limit] if a
     * thread that it needs is stuck. An infinite [limit] waits without end.
     */
    fun await(limit: () -> Duration = { Duration.INFINITE }, shutDown: () -> Unit) {
        val requested = CountDownLatch(1)
        val finished = CountDownLatch(1)
        val hook = Thread {
            requested.countDown()
            awaitShutdown(finished, limit())
        }
        Runtime.getRuntime().addShutdownHook(hook)
        requested.await()
        try {
            shutDown()
        } finally {
            finished.countDown()
        }
        // The process exits when the hook returns; if the command returned here, it would race with the hook.
        Thread.currentThread().join()
    }

    private fun awaitShutdown(finished: CountDownLatch, limit: Duration) {
        if (finished.await(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)) return
        LOGGER.error("The shutdown has not ended within {}; the process exits without it.", limit)
    }
}
