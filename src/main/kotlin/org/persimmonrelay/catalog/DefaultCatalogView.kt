package org.persimmonrelay.catalog

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import java.util.concurrent.ConcurrentHashMap

/**
 * The configuration at one version. A change makes a new view that shares everything untouched with its
 * predecessor: the maps are persistent, and what was computed from kinds that did not change is kept.
 */
public class DefaultCatalogView private constructor(
    override val version: Long,
    private val indexes: CatalogIndexes,
    private val derived: DerivedLookups,
) : CatalogView {
    override fun keyByDigest(digest: String): ApiKey? = indexes.keyNames[digest]?.let { indexes.keys[it] }

    override fun workspace(name: String): Workspace? = indexes.workspaces[name]

    override fun deployment(name: String): Deployment? = indexes.deployments[name]

    override fun service(name: String): PlainService? = indexes.services[name]

    /** The key called [name], withdrawn or not. */
    public fun key(name: String): ApiKey? = indexes.keys[name]

    override fun deployments(): List<Deployment> = indexes.deployments.sorted

    override fun deploymentsFor(workspace: Workspace): List<Deployment> =
        derived.deployments.admitting(workspace.labels)

    override fun limitsFor(workspace: Workspace, deployment: Deployment): List<Limit> =
        derived.limits.admitting(workspace.labels).filter { limit ->
            indexes.deployments.select(limit.deployments).any { it.name == deployment.name }
        }

    override fun mayUse(workspace: Workspace, service: PlainService): Boolean =
        derived.services.admitting(workspace.labels).any { it.name == service.name }

    override fun serversOf(deployment: Deployment): List<BackendServerConfig> = derived.serversOfPools(deployment.pools)

    override fun serversOf(service: PlainService): List<BackendServerConfig> = indexes.servers.select(service.servers)

    /** Pools that [deployment] selects, by name. */
    public fun poolsOf(deployment: Deployment): List<Pool> = indexes.pools.select(deployment.pools)

    /** Backend servers that [pool] selects, by name. */
    public fun serversOf(pool: Pool): List<BackendServerConfig> = indexes.servers.select(pool.servers)

    override val objects: List<CatalogObject> by lazy { ObjectKind.entries.flatMap { indexes.of(it).sorted } }

    /** The object that [ref] names, or null. */
    public fun find(ref: ObjectRef): CatalogObject? = indexes.of(ref.kind)[ref.name]

    /** The version that wrote [ref] last, or null when there is no such object. */
    public fun versionOf(ref: ObjectRef): Long? = indexes.of(ref.kind).versionOf(ref.name)

    /** Objects of [kind] that [selector] picks, by name. */
    public fun select(kind: ObjectKind, selector: Selector): List<CatalogObject> =
        indexes.of(kind).sorted.filter { selector.matches(it.labels) }

    /** Number of objects of [kind]. */
    public fun count(kind: ObjectKind): Int = indexes.of(kind).size

    /** Every object with the version that wrote it, in no particular order. */
    public fun storedObjects(): List<StoredObject> =
        ObjectKind.entries.flatMap { indexes.of(it).versioned() }.map { StoredObject(it.version, it.value) }

    /** The next view, after [changes]; they name each object at most once. */
    public fun with(changes: List<CatalogChange>): DefaultCatalogView {
        val next = version + 1
        val changed = indexes.with(next, changes)
        return DefaultCatalogView(next, changed, derived.carriedTo(indexes, changed))
    }

    public companion object {
        /** The configuration before the first change. */
        public val EMPTY: DefaultCatalogView = of(0, emptyList())

        /** The configuration at [version] with [objects]. */
        public fun of(version: Long, objects: List<StoredObject>): DefaultCatalogView {
            val indexes = CatalogIndexes.of(objects)
            return DefaultCatalogView(version, indexes, DerivedLookups.of(indexes))
        }
    }
}

/** One index per kind, and the names of keys by digest. */
internal class CatalogIndexes(private val byKind: Map<ObjectKind, KindIndex<*>>, val keyNames: KeyNames) {
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
        return CatalogIndexes(next, keyNames.with(keyChanges, keys))
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
            return CatalogIndexes(byKind, KeyNames.of(objects.mapNotNull { it.value as? ApiKey }))
        }
    }
}

/** Names of keys by digest. */
internal class KeyNames private constructor(private val byDigest: PersistentMap<String, String>) {
    operator fun get(digest: String): String? = byDigest[digest]

    fun with(changes: List<CatalogChange>, before: KindIndex<ApiKey>): KeyNames {
        if (changes.isEmpty()) return this
        val builder = byDigest.builder()
        changes.mapNotNull { before[it.ref.name] }.forEach { builder.remove(it.digest) }
        changes.filterIsInstance<CatalogChange.Put>().map { it.value }.filterIsInstance<ApiKey>()
            .forEach { builder[it.digest] = it.name }
        return KeyNames(builder.build())
    }

    companion object {
        fun of(keys: List<ApiKey>): KeyNames {
            val builder = persistentHashMapOf<String, String>().builder()
            keys.forEach { builder[it.digest] = it.name }
            return KeyNames(builder.build())
        }
    }
}

/** What is computed over several kinds, each part kept as long as the kinds that it reads stay the same. */
internal class DerivedLookups private constructor(
    private val indexes: CatalogIndexes,
    val deployments: LabelGate<Deployment>,
    val limits: LabelGate<Limit>,
    val services: LabelGate<PlainService>,
    private val servers: ConcurrentHashMap<String, List<BackendServerConfig>>,
) {
    fun serversOfPools(pools: String): List<BackendServerConfig> = servers.computeIfAbsent(pools) {
        val members = indexes.pools.select(pools).map { indexes.servers.select(it.servers) }
        members.singleOrNull() ?: members.flatten().distinctBy { it.name }.sortedBy { it.name }
    }

    fun carriedTo(before: CatalogIndexes, after: CatalogIndexes): DerivedLookups = DerivedLookups(
        indexes = after,
        deployments = if (before.deployments === after.deployments) deployments else gate(after.deployments),
        limits = if (before.limits === after.limits) limits else limitGate(after),
        services = if (before.services === after.services) services else serviceGate(after),
        servers = if (before.pools === after.pools &&
            before.servers === after.servers
        ) {
            servers
        } else {
            ConcurrentHashMap()
        },
    )

    companion object {
        fun of(indexes: CatalogIndexes): DerivedLookups = DerivedLookups(
            indexes,
            gate(indexes.deployments),
            limitGate(indexes),
            serviceGate(indexes),
            ConcurrentHashMap(),
        )

        private fun gate(index: KindIndex<Deployment>) = LabelGate(index.sorted) { it.workspaces }

        private fun limitGate(indexes: CatalogIndexes) = LabelGate(indexes.limits.sorted) { it.workspaces }

        private fun serviceGate(indexes: CatalogIndexes) = LabelGate(indexes.services.sorted) { it.workspaces }
    }
}
