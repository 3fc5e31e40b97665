package org.persimmonrelay.experiment.laws

/** Result of an operator's configuration change, as reported to the operator. */
internal enum class ChangeOutcome {
    /** Accepted, and confirmed by a majority of the nodes. */
    CONFIRMED,

    /** Accepted, but not confirmed by a majority of the nodes. */
    ACCEPTED,

    /** Refused; the change was not applied. */
    REFUSED,

    /** The change may or may not have been applied. */
    UNKNOWN,
}

/** One incarnation of a simulated node, as far as the laws on configuration and withdrawn keys need it. */
internal interface ConfigNode {
    /** True when the node may serve requests. */
    val ready: Boolean

    /** Version of the configuration in force on this node. */
    val version: Long

    /** Names of the objects in the configuration in force. */
    val names: Set<String>

    /** Starts the node's background work. */
    fun start()

    /** Creates an object called [name]. */
    suspend fun put(name: String): ChangeOutcome

    /** Withdraws the key called [name]. */
    suspend fun withdraw(name: String): ChangeOutcome

    /** True when the node would accept a request with the key called [name] now. */
    fun admits(name: String): Boolean
}
