package org.persimmonrelay.entry

import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.RequestId
import java.util.concurrent.atomic.AtomicLong

/** Generates request IDs that are unique across all nodes and their restarts. */
internal class RequestIdGenerator(private val incarnation: Incarnation) {
    private val last = AtomicLong()

    fun next(): RequestId = RequestId("$incarnation-${last.incrementAndGet()}")
}
