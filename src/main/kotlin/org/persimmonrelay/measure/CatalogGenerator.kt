package org.persimmonrelay.measure

import org.persimmonrelay.catalog.ApiKey
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.DefaultCatalogView
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.KeyDigester
import org.persimmonrelay.catalog.Limit
import org.persimmonrelay.catalog.ObjectKind
import org.persimmonrelay.catalog.Pool
import org.persimmonrelay.catalog.StoredObject
import org.persimmonrelay.catalog.Workspace

/** Generates configurations of a given size, with the proportions that the users' requirements state. */
internal class CatalogGenerator {
    /** Computes the digests of the generated keys. */
    val digester = KeyDigester(ByteArray(SECRET_BYTES) { it.toByte() })

    /** A configuration at [scale], where 1.0 is 18,000 workspaces, 40,000 keys and 1,300 servers. */
    fun objects(scale: Double): List<StoredObject> {
        val workspaces = workspaces((WORKSPACES * scale).toInt())
        val keys = keys((KEYS * scale).toInt(), workspaces.size)
        return (workspaces + keys + servers((SERVERS * scale).toInt()) + fixedObjects()).map { StoredObject(1, it) }
    }

    fun workspaces(count: Int): List<CatalogObject> =
        List(count) { Workspace("workspace-$it", labels("tier" to "t${it % TIERS}", "region" to region(it))) }

    fun keys(count: Int, workspaces: Int): List<CatalogObject> =
        List(count) { ApiKey("key-$it", emptyMap(), "workspace-${it % workspaces}", digester.digest(presentedKey(it))) }

    fun servers(count: Int): List<CatalogObject> = List(count) {
        BackendServerConfig(
            name = "server-$it",
            labels = labels("model" to "m${it % MODELS}", "region" to region(it)),
            address = "10.${it / OCTET / OCTET}.${it / OCTET % OCTET}.${it % OCTET}:8000",
            domain = "domain-${it % DOMAINS}",
            region = region(it),
        )
    }

    /** The key that a caller presents for `key-`[number]. */
    fun presentedKey(number: Int): String = "pr_" + number.toString().padStart(KEY_DIGITS, '0')

    private fun fixedObjects(): List<CatalogObject> = List(MODELS) { model ->
        listOf(
            Pool("pool-$model", labels("model" to "m$model"), servers = "model=m$model"),
            Deployment("model-$model", model = "m$model", pools = "model=m$model", workspaces = "tier!=t$model"),
        )
    }.flatten() + List(TIERS) { Limit("limit-$it", workspaces = "tier=t$it", tokensPerMinute = TOKENS_PER_MINUTE) }

    private fun labels(vararg labels: Pair<String, String>) = mapOf(*labels)

    private fun region(number: Int) = "region-${number % REGIONS}"

    companion object {
        fun workspacesIn(view: DefaultCatalogView): Int = view.count(ObjectKind.WORKSPACE)

        const val WORKSPACES = 18_000
        const val KEYS = 40_000
        const val SERVERS = 1_300
        private const val SECRET_BYTES = 32
        private const val MODELS = 39
        private const val DOMAINS = 20
        private const val REGIONS = 8
        private const val TIERS = 5
        private const val KEY_DIGITS = 40
        private const val OCTET = 250
        private const val TOKENS_PER_MINUTE = 100_000L
    }
}
