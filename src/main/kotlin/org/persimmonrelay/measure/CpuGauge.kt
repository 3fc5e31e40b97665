package org.persimmonrelay.measure

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Measures processor time. */
internal object CpuGauge {
    private val threads = ManagementFactory.getThreadMXBean()
    private val process = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean

    /** Processor time that the calling thread uses in [work]. */
    fun ofThread(work: () -> Unit): Duration {
        val before = threads.currentThreadCpuTime
        work()
        return (threads.currentThreadCpuTime - before).nanoseconds
    }

    /** Processor time that all threads of the process use while [work] runs. */
    fun ofProcess(work: () -> Unit): Duration {
        val before = process.processCpuTime
        work()
        return (process.processCpuTime - before).nanoseconds
    }
}
