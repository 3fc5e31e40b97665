/*
 * Changes are decided by the planners and carried out by [FleetManager].
 */
package org.persimmonrelay.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.platform.PriceClass

/** A change to one backend server. */
@Serializable
public sealed interface ServerChange {
    /** A change that the engine itself carries out. */
    @Serializable
    public sealed interface Engine : ServerChange

    /** A change that the platform carries out. */
    @Serializable
    public sealed interface Platform : ServerChange

    /** Change the engine's role to [role]. */
    @Serializable
    @SerialName("role")
    public data class Role(val role: EngineRole) : Engine

    /** Load [model] and, if not null, [adapter] for it, in [version]. */
    @Serializable
    @SerialName("load")
    public data class Load(val model: String, val adapter: String? = null, val version: String? = null) : Engine

    /** Start a server of price class [price] for [model]. */
    @Serializable
    @SerialName("start")
    public data class Start(val price: PriceClass, val model: String) : Platform

    /** Stop the server. */
    @Serializable
    @SerialName("stop")
    public data object Stop : Platform
}
