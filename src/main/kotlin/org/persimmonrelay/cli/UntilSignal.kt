package org.persimmonrelay.cli

import java.util.concurrent.CountDownLatch

/** Keeps a command running until the process is told to end (SIGINT or SIGTERM). */
internal object UntilSignal {
    /** Blocks until then; the process ends only after [leave] has returned. */
    fun await(leave: () -> Unit) {
        val asked = CountDownLatch(1)
        val left = CountDownLatch(1)
        val hook = Thread {
            asked.countDown()
            left.await()
        }
        Runtime.getRuntime().addShutdownHook(hook)
        asked.await()
        try {
            leave()
        } finally {
            left.countDown()
        }
        // The process ends with the hook; without this the command would return and race it.
        Thread.currentThread().join()
    }
}
