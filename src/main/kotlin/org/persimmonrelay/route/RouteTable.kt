package org.persimmonrelay.route

/** One version of the operator's configuration. [keysRequired] is false when no workspaces are configured. */
public class RouteTable(
    public val version: Long,
    routes: List<Route>,
    public val services: Map<ServiceId, Service>,
    public val limits: CallerLimits,
    private val workspacesByKey: Map<String, ConfiguredWorkspace>,
    public val keysRequired: Boolean,
) {
    private val byHost = routes.groupBy {
        it.host
    }.mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.prefix.length } }

    public val routeCount: Int = routes.size
    public val keyCount: Int = workspacesByKey.size

    /** The route of [host] with the longest prefix of [path]; null if there is none. A port in [host] is ignored. */
    public fun match(host: String, path: String): Route? {
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }

    /** The workspace of API key [key]; null if the key is unknown. */
    public fun workspaceOf(key: String): ConfiguredWorkspace? = workspacesByKey[key]
}
