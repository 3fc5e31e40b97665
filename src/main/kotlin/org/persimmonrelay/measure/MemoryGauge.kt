package org.persimmonrelay.measure

import com.sun.management.UnixOperatingSystemMXBean
import java.lang.management.BufferPoolMXBean
import java.lang.management.ManagementFactory

/** Reads memory, processor time and free file descriptors of this process. */
internal object MemoryGauge {
    private const val GC_RUNS = 3
    private const val RESERVED_DESCRIPTORS = 500

    /** Heap in use after forced garbage collections, in bytes. */
    fun heapBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    /** Processor time of all threads since process start, in nanoseconds; 0 if the platform does not report it. */
    fun cpuNanos(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean)?.processCpuTime ?: 0L

    /** Memory of direct buffers, outside the heap, in bytes. */
    fun directBytes(): Long = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean::class.java).filter {
        it.name == "direct"
    }.sumOf { it.memoryUsed }

    /** File descriptors that may still be opened, less a reserve; null if the platform does not report it. */
    fun freeDescriptors(): Int? {
        val system = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean ?: return null
        val free = system.maxFileDescriptorCount - system.openFileDescriptorCount - RESERVED_DESCRIPTORS
        return free.coerceIn(0, Int.MAX_VALUE.toLong()).toInt()
    }
}
