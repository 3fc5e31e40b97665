package org.persimmonrelay.node

import org.persimmonrelay.catalog.OperationIdGenerator
import org.persimmonrelay.identity.Incarnation
import kotlin.random.Random

/** Identity of one run of a node process: its incarnation, random number generator and operation ids. */
public class NodeIdentity(public val random: Random) {
    public val operations: OperationIdGenerator = OperationIdGenerator(random)
    public val incarnation: Incarnation = Incarnation(OperationIdGenerator(random).next().value)
}
