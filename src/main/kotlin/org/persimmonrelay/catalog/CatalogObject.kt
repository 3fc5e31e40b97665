/*
 * What operators write. Every object has a name that is unique within its kind, labels and, once stored,
 * the configuration version that wrote it last. Objects refer to each other by selectors over labels:
 * pools pick backend servers, deployments pick pools, routes and limits pick workspaces.
 */
package org.persimmonrelay.catalog

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.platform.PriceClass

/** One object of the configuration. */
@Serializable
public sealed interface CatalogObject {
    public val name: String
    public val labels: Map<String, String>
}

/** A customer's share of the system: owns keys, a weight in fair sharing, usage. */
@Serializable
@SerialName("workspace")
public data class Workspace(
    override val name: String,
    override val labels: Map<String, String> = emptyMap(),
    val weight: Int = 1,
) : CatalogObject

/** A caller's key, kept as a keyed digest in lower-case hex. Operators' keys have no [workspace]. */
@Serializable
@SerialName("key")
public data class ApiKey(
    override val name: String,
    override val labels: Map<String, String> = emptyMap(),
    val workspace: String? = null,
    val digest: String,
    val withdrawn: Boolean = false,
    val cutRunning: Boolean = false,
) : CatalogObject

/** A model that callers can name, and the pools that serve it. Bounds are in seconds and milliseconds. */
@Serializable
@SerialName("deployment")
public data class Deployment(
    override val name: String,
    override val labels: Map<String, String> = emptyMap(),
    val model: String,
    val adapter: String? = null,
    val version: String? = null,
    val pools: String,
    val workspaces: String = "",
    val maxPromptTokens: Int = 32_768,
    val maxOutputTokens: Int = 4_096,
    val firstTokenSeconds: Double = 2.0,
    val betweenTokensMillis: Double = 100.0,
) : CatalogObject

/** A set of backend servers that work together, picked by the selector [servers]. */
@Serializable
@SerialName("pool")
public data class Pool(
    override val name: String,
    override val labels: Map<String, String> = emptyMap(),
    val servers: String,
    val minServers: Int = 0,
    val maxServers: Int = 0,
    val maxCheapShare: Double = 0.0,
) : CatalogObject

/** A host that runs an engine or a plain service. [checksFencing] is false for engines that ignore epochs. */
@Serializable
@SerialName("server")
public data class BackendServerConfig(
    override val name: String,
    override val labels: Map<String, String> = emptyMap(),
    val address: String,
    val domain: String,
    val region: String,
    val price: PriceClass = PriceClass.ORDINARY,
    val checksFencing: Boolean = true,
    val role: EngineRole = EngineRole.MIXED,
    val drain: Boolean = false,
) : CatalogObject

/**
 * A plain service under `/s/{name}/`, served by the backend servers that [servers] selects.
 *
 * Calls with a method in [onceMethods] may not be repeated. [open] routes need no key.
 */
@Serializable
@SerialName("service")
public data class PlainService(
    override val name: String,
    override val labels: Map<String, String> = emptyMap(),
    val servers: String,
    val workspaces: String = "",
    val open: Boolean = false,
    val onceMethods: List<String> = listOf("POST", "PATCH"),
    val timeoutSeconds: Double = 30.0,
) : CatalogObject

/** A bound on what each workspace picked by [workspaces] may use of the deployments picked by [deployments]. */
@Serializable
@SerialName("limit")
public data class Limit(
    override val name: String,
    override val labels: Map<String, String> = emptyMap(),
    val workspaces: String,
    val deployments: String = "",
    val tokensPerMinute: Long? = null,
    val concurrentRequests: Int? = null,
) : CatalogObject
