/*
 * What the policy wants done: decided elsewhere as pure functions, carried out here.
 */
package org.persimmonrelay.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.platform.PriceClass

/** A change to one backend server. */
@Serializable
public sealed interface ServerChange {
    /** A change to an engine, ordered from the engine itself. */
    @Serializable
    public sealed interface Engine : ServerChange

    /** A change that the platform makes. */
    @Serializable
    public sealed interface Platform : ServerChange

    /** Become [role]. */
    @Serializable
    @SerialName("role")
    public data class Role(val role: EngineRole) : Engine

    /** Load [model], an [adapter] for it, at [version]. */
    @Serializable
    @SerialName("load")
    public data class Load(val model: String, val adapter: String? = null, val version: String? = null) : Engine

    /** Start a server of [price] for [model]. */
    @Serializable
    @SerialName("start")
    public data class Start(val price: PriceClass, val model: String) : Platform

    /** Stop the server. */
    @Serializable
    @SerialName("stop")
    public data object Stop : Platform
}
