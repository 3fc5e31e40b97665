package org.persimmonrelay.cli

import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class ShutdownSignalTest {
    // Guards against a process that never ends, since a thread that its shutdown needs is stuck.
    @Test
    fun `a process whose shutdown is stuck exits after the limit`() {
        val java = ProcessHandle.current().info().command().orElse("java")
        val classes = System.getProperty("java.class.path")
        val process =
            ProcessBuilder(java, "-cp", classes, StuckShutdown::class.java.name).redirectErrorStream(true).start()
        try {
            val output = process.inputStream.bufferedReader()
            assertEquals(StuckShutdown.READY, output.readLine())
            process.toHandle().destroy()

            assertEquals(StuckShutdown.STOPPING, output.readLine())
            assertTrue(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS), "the process still runs")
        } finally {
            process.destroyForcibly()
        }
    }

    private companion object {
        /** Far above the limit, so that a slow machine does not decide. */
        const val EXIT_SECONDS = 20L
    }
}

/** Program whose shutdown never ends. It is ready once it waits for the signal. */
object StuckShutdown {
    const val READY = "ready"
    const val STOPPING = "stopping"
    private const val POLL_MILLIS = 10L
    private val LIMIT = 200.milliseconds

    @JvmStatic
    fun main(arguments: Array<String>) {
        val main = Thread.currentThread()
        thread(isDaemon = true) {
            while (main.state != Thread.State.WAITING) Thread.sleep(POLL_MILLIS)
            println(READY)
        }
        ShutdownSignal.await({ LIMIT }) {
            println(STOPPING)
            Thread.sleep(Long.MAX_VALUE)
        }
    }
}
