package org.persimmonrelay.experiment.laws

/** How an operator's change ended. */
internal enum class PutEnd {
    /** Accepted, and confirmed by a majority of the nodes. */
    CONFIRMED,

    /** Accepted; too few nodes have confirmed it. */
    ACCEPTED,

    /** Refused as not made. */
    REFUSED,

    /** It may or may not have been made. */
    UNKNOWN,
}

/** One life of a modelled node, as the law on configuration looks at it. */
internal interface ConfigNode {
    /** True when the node may serve. */
    val ready: Boolean

    /** The version in force. */
    val version: Long

    /** Names of the objects in force. */
    val names: Set<String>

    /** Starts the node's loops. */
    fun start()

    /** Creates an object called [name]. */
    suspend fun put(name: String): PutEnd

    /** Withdraws the key called [name]. */
    suspend fun withdraw(name: String): PutEnd

    /** True when a request under the key called [name] would run now. */
    fun admits(name: String): Boolean
}
