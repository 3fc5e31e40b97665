package org.persimmonrelay.peer

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Messages and bytes of one method, sent and received together. */
public data class MethodTraffic(val messages: Long, val bytes: Long)

/** Counts messages and bytes between nodes by method. Sizes exclude gRPC and HTTP/2 framing. Thread-safe. */
public class PeerTraffic {
    private val counters = ConcurrentHashMap<String, Counter>()

    /** Totals since the start. */
    public fun byMethod(): Map<String, MethodTraffic> =
        counters.mapValues { (_, counter) -> MethodTraffic(counter.messages.sum(), counter.bytes.sum()) }

    internal fun counter(method: String): (Int) -> Unit {
        val counter = counters.computeIfAbsent(method) { Counter() }
        return { size ->
            counter.messages.increment()
            counter.bytes.add(size.toLong())
        }
    }

    private class Counter {
        val messages = LongAdder()
        val bytes = LongAdder()
    }
}
