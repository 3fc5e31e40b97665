package org.persimmonrelay.measure

import com.sun.management.UnixOperatingSystemMXBean
import java.lang.management.BufferPoolMXBean
import java.lang.management.ManagementFactory

/** Reads what this process uses and may use. */
internal object MemoryGauge {
    private const val COLLECTIONS = 3
    private const val SPARE_DESCRIPTORS = 500

    /** Heap in use after collections, in bytes. */
    fun heapBytes(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    /** Processor time of all threads since the start, in nanoseconds; 0 when the platform doesn't say. */
    fun cpuNanos(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean)?.processCpuTime ?: 0L

    /** Memory in use outside the heap by buffers, in bytes. */
    fun directBytes(): Long = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean::class.java).filter {
        it.name == "direct"
    }.sumOf { it.memoryUsed }

    /** File descriptors that may still be opened, less some to spare; null when the platform doesn't say. */
    fun freeDescriptors(): Int? {
        val system = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean ?: return null
        val free = system.maxFileDescriptorCount - system.openFileDescriptorCount - SPARE_DESCRIPTORS
        return free.coerceIn(0, Int.MAX_VALUE.toLong()).toInt()
    }
}
