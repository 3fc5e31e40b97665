package org.persimmonrelay.catalog

import org.persimmonrelay.identity.OperationId
import kotlin.random.Random

/** Generates random operation ids for writes. [random] must be seeded differently on each node. Thread-safe. */
public class OperationIdGenerator(private val random: Random) {
    @Synchronized
    public fun next(): OperationId =
        OperationId(random.nextLong().toULong().toString(HEX) + random.nextLong().toULong().toString(HEX))

    private companion object {
        const val HEX = 16
    }
}
