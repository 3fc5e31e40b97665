package org.persimmonrelay.cli

import java.util.concurrent.CountDownLatch

/** Blocks a command until the process receives SIGINT or SIGTERM. */
internal object ShutdownSignal {
    /** Waits for the signal, then calls [shutDown]; the process exits only after [shutDown] has returned. */
    fun await(shutDown: () -> Unit) {
        val requested = CountDownLatch(1)
        val finished = CountDownLatch(1)
        val hook = Thread {
            requested.countDown()
            finished.await()
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
}
