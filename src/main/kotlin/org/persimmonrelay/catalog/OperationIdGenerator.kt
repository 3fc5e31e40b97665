package org.persimmonrelay.catalog

import org.persimmonrelay.identity.OperationId
import kotlin.random.Random

/** Draws ids for writes; [random] must differ from node to node. */
public class OperationIdGenerator(private val random: Random) {
    @Synchronized
    public fun next(): OperationId =
        OperationId(random.nextLong().toULong().toString(HEX) + random.nextLong().toULong().toString(HEX))

    private companion object {
        const val HEX = 16
    }
}
