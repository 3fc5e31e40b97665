/*
 * The objects that operators configure. Each object has labels, a name that is unique within its kind and, once
 * stored, the configuration version that wrote it last. Objects refer to each other by label selectors: pools select
 * backend servers, deployments select pools, and deployments, services and limits select workspaces.
 */
package org.persimmonrelay.catalog

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.platform.PriceClass

/** One configuration object. */
@Serializable
public sealed interface CatalogObject {
    public val name: String
    public val labels: Map<String, String>
}

/** A tenant of the system. Keys and usage belong to a workspace; [weight] is its weight in fair sharing. */
@Serializable
@SerialName("workspace")
public data class Workspace(
    override val name: String,
    override val labels: Map<String, String> = emptyMap(),
    val weight: Int = 1,
) : CatalogObject

/**
 * A caller's key, stored as a keyed digest in lower-case hex. Operators' keys have no [workspace]. A [withdrawn] key
 * admits no new requests; with [cutRunning] its running requests are aborted immediately.
 */
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

/**
 * A model that callers can request, and selectors for the pools that serve it and the workspaces that may use it.
 * [firstTokenSeconds] is the latency limit for the first token in seconds, [betweenTokensMillis] the limit for the time
 * between tokens in milliseconds.
 */
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

/**
 * A set of backend servers that work together, selected by [servers]. [maxCheapShare] is the maximum share of
 * [PriceClass.CHEAP] servers, from 0.0 to 1.0.
 */
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

/** A host that runs an engine or a plain service. [checksFencing] is false for engines that ignore fencing tokens. */
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
 * An HTTP service without a model, available under `/s/{name}/` and served by the backend servers that [servers]
 * selects.
 *
 * Calls with an HTTP method in [onceMethods] must not be retried. An [open] service requires no key.
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

/**
 * Limits how much each workspace selected by [workspaces] may use of the deployments selected by [deployments]. A null
 * limit means unlimited.
 */
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
