package org.persimmonrelay.catalog

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import java.util.concurrent.ConcurrentHashMap

/**
 * The configuration at one version. A change creates a new view that shares unchanged data with the previous one: the
 * maps are persistent, and results computed from kinds that did not change are reused.
 */
public class DefaultCatalogView private constructor(
    override val version: Long,
    private val indexes: CatalogIndexes,
    private val lookups: CachedLookups,
) : CatalogView {
    override fun keyByDigest(digest: String): ApiKey? = indexes.keyDigests[digest]?.let { indexes.keys[it] }

    override fun workspace(name: String): Workspace? = indexes.workspaces[name]

    override fun deployment(name: String): Deployment? = indexes.deployments[name]

    override fun service(name: String): PlainService? = indexes.services[name]

    /** The key with [name], withdrawn or not. */
    public fun key(name: String): ApiKey? = indexes.keys[name]

    override fun deployments(): List<Deployment> = indexes.deployments.sorted

    override fun deploymentsFor(workspace: Workspace): List<Deployment> = lookups.deployments.matching(workspace.labels)

    override fun limitsFor(workspace: Workspace, deployment: Deployment): List<Limit> =
        lookups.limits.matching(workspace.labels).filter { limit ->
            indexes.deployments.select(limit.deployments).any { it.name == deployment.name }
        }

    override fun mayUse(workspace: Workspace, service: PlainService): Boolean =
        lookups.services.matching(workspace.labels).any { it.name == service.name }

    override fun serversOf(deployment: Deployment): List<BackendServerConfig> = lookups.serversOfPools(deployment.pools)

    override fun serversOf(service: PlainService): List<BackendServerConfig> = indexes.servers.select(service.servers)

    /** Pools that [deployment] selects, sorted by name. */
    public fun poolsOf(deployment: Deployment): List<Pool> = indexes.pools.select(deployment.pools)

    /** Backend servers that [pool] selects, sorted by name. */
    public fun serversOf(pool: Pool): List<BackendServerConfig> = indexes.servers.select(pool.servers)

    override val objects: List<CatalogObject> by lazy { ObjectKind.entries.flatMap { indexes.of(it).sorted } }

    /** The object with [ref], or null. */
    public fun find(ref: ObjectRef): CatalogObject? = indexes.of(ref.kind)[ref.name]

    /** The version that wrote the object with [ref] last; null when it does not exist. */
    public fun versionOf(ref: ObjectRef): Long? = indexes.of(ref.kind).versionOf(ref.name)

    /** Objects of [kind] that [selector] matches, sorted by name. */
    public fun select(kind: ObjectKind, selector: Selector): List<CatalogObject> =
        indexes.of(kind).sorted.filter { selector.matches(it.labels) }

    /** Number of objects of [kind]. */
    public fun count(kind: ObjectKind): Int = indexes.of(kind).size

    /** All objects with the versions that wrote them last, in no particular order. */
    public fun storedObjects(): List<StoredObject> =
        ObjectKind.entries.flatMap { indexes.of(it).versioned() }.map { StoredObject(it.version, it.value) }

    /** The view at the next version, with [changes], which must contain each object at most once. */
    public fun with(changes: List<CatalogChange>): DefaultCatalogView {
        val next = version + 1
        val changed = indexes.with(next, changes)
        return DefaultCatalogView(next, changed, lookups.updated(indexes, changed))
    }

    public companion object {
        /** The configuration before the first change. */
        public val EMPTY: DefaultCatalogView = of(0, emptyList())

        /** A view of [objects] at [version]. */
        public fun of(version: Long, objects: List<StoredObject>): DefaultCatalogView {
            val indexes = CatalogIndexes.of(objects)
            return DefaultCatalogView(version, indexes, CachedLookups.of(indexes))
        }
    }
}

/** The object index of each kind and the key names by digest. */
internal class CatalogIndexes(private val byKind: Map<ObjectKind, KindIndex<*>>, val keyDigests: KeyDigestIndex) {
    val workspaces: KindIndex<Workspace> = typed(ObjectKind.WORKSPACE)
    val keys: KindIndex<ApiKey> = typed(ObjectKind.KEY)
    val deployments: KindIndex<Deployment> = typed(ObjectKind.DEPLOYMENT)
    val pools: KindIndex<Pool> = typed(ObjectKind.POOL)
    val servers: KindIndex<BackendServerConfig> = typed(ObjectKind.SERVER)
    val services: KindIndex<PlainService> = typed(ObjectKind.SERVICE)
    val limits: KindIndex<Limit> = typed(ObjectKind.LIMIT)

    fun of(kind: ObjectKind): KindIndex<*> = byKind.getValue(kind)

    fun with(version: Long, changes: List<CatalogChange>): CatalogIndexes {
        val grouped = changes.groupBy { it.ref.kind }
        val next = byKind.mapValues { (kind, index) -> grouped[kind]?.let { index.changed(version, it) } ?: index }
        val keyChanges = grouped[ObjectKind.KEY].orEmpty()
        return CatalogIndexes(next, keyDigests.with(keyChanges, keys))
    }

    private fun <T : CatalogObject> KindIndex<T>.changed(version: Long, changes: List<CatalogChange>): KindIndex<T> {
        @Suppress("UNCHECKED_CAST")
        val puts = changes.filterIsInstance<CatalogChange.Put>().map { it.value as T }
        val deletes = changes.filterIsInstance<CatalogChange.Delete>().map { it.ref.name }
        return with(version, puts, deletes)
    }

    @Suppress("UNCHECKED_CAST")
    private fun <T : CatalogObject> typed(kind: ObjectKind): KindIndex<T> = byKind.getValue(kind) as KindIndex<T>

    companion object {
        fun of(objects: List<StoredObject>): CatalogIndexes {
            val grouped = objects.map { Versioned(it.version, it.value) }.groupBy { it.value.kind }
            val byKind = ObjectKind.entries.associateWith { KindIndex.of(grouped[it].orEmpty()) }
            return CatalogIndexes(byKind, KeyDigestIndex.of(objects.mapNotNull { it.value as? ApiKey }))
        }
    }
}

/** Names of keys by digest, including withdrawn keys. */
internal class KeyDigestIndex private constructor(private val byDigest: PersistentMap<String, String>) {
    operator fun get(digest: String): String? = byDigest[digest]

    fun with(changes: List<CatalogChange>, before: KindIndex<ApiKey>): KeyDigestIndex {
        if (changes.isEmpty()) return this
        val builder = byDigest.builder()
        changes.mapNotNull { before[it.ref.name] }.forEach { builder.remove(it.digest) }
        changes.filterIsInstance<CatalogChange.Put>().map { it.value }.filterIsInstance<ApiKey>()
            .forEach { builder[it.digest] = it.name }
        return KeyDigestIndex(builder.build())
    }

    companion object {
        fun of(keys: List<ApiKey>): KeyDigestIndex {
            val builder = persistentHashMapOf<String, String>().builder()
            keys.forEach { builder[it.digest] = it.name }
            return KeyDigestIndex(builder.build())
        }
    }
}

/** Cached lookups that combine kinds. Each cache is reused until one of the kinds that it reads changes. */
internal class CachedLookups private constructor(
    private val indexes: CatalogIndexes,
    val deployments: SelectorMatchCache<Deployment>,
    val limits: SelectorMatchCache<Limit>,
    val services: SelectorMatchCache<PlainService>,
    private val servers: ConcurrentHashMap<String, List<BackendServerConfig>>,
) {
    fun serversOfPools(pools: String): List<BackendServerConfig> = servers.computeIfAbsent(pools) {
        val members = indexes.pools.select(pools).map { indexes.servers.select(it.servers) }
        members.singleOrNull() ?: members.flatten().distinctBy { it.name }.sortedBy { it.name }
    }

    fun updated(before: CatalogIndexes, after: CatalogIndexes): CachedLookups = CachedLookups(
        indexes = after,
        deployments = if (before.deployments === after.deployments) deployments else deploymentCache(after.deployments),
        limits = if (before.limits === after.limits) limits else limitCache(after),
        services = if (before.services === after.services) services else serviceCache(after),
        servers = if (before.pools === after.pools &&
            before.servers === after.servers
        ) {
            servers
        } else {
            ConcurrentHashMap()
        },
    )

    companion object {
        fun of(indexes: CatalogIndexes): CachedLookups = CachedLookups(
            indexes,
            deploymentCache(indexes.deployments),
            limitCache(indexes),
            serviceCache(indexes),
            ConcurrentHashMap(),
        )

        private fun deploymentCache(index: KindIndex<Deployment>) = SelectorMatchCache(index.sorted) { it.workspaces }

        private fun limitCache(indexes: CatalogIndexes) = SelectorMatchCache(indexes.limits.sorted) { it.workspaces }

        private fun serviceCache(indexes: CatalogIndexes) =
            SelectorMatchCache(indexes.services.sorted) { it.workspaces }
    }
}
