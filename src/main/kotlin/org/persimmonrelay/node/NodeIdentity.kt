package org.persimmonrelay.node

import org.persimmonrelay.catalog.OperationIds
import org.persimmonrelay.identity.Incarnation
import kotlin.random.Random

/** One life of a node: its incarnation, its source of chance and of operation ids. */
public class NodeIdentity(public val random: Random) {
    public val operations: OperationIds = OperationIds(random)
    public val incarnation: Incarnation = Incarnation(OperationIds(random).next().value)
}
