package org.persimmonrelay.entry

import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.RequestId
import java.util.concurrent.atomic.AtomicLong

/** Names requests; unique over all lives of all nodes. */
internal class RequestIds(private val incarnation: Incarnation) {
    private val last = AtomicLong()

    fun next(): RequestId = RequestId("$incarnation-${last.incrementAndGet()}")
}
