package org.persimmonrelay.node

import org.persimmonrelay.catalog.OperationIdGenerator
import org.persimmonrelay.identity.Incarnation
import kotlin.random.Random

/** One life of a node: its incarnation, its source of chance and of operation ids. */
public class NodeIdentity(public val random: Random) {
    public val operations: OperationIdGenerator = OperationIdGenerator(random)
    public val incarnation: Incarnation = Incarnation(OperationIdGenerator(random).next().value)
}
