package org.persimmonrelay.measure

import java.lang.management.ManagementFactory

/** Reads the heap that this process uses. */
internal object HeapGauge {
    private const val COLLECTIONS = 3

    /** Bytes in use after collections. */
    fun heapBytes(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }
}
