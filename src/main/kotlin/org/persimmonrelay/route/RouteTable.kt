package org.persimmonrelay.route

/** One version of the operator's configuration. [keysRequired] is false where there are no workspaces. */
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
    }.mapValues { (_, own) -> own.sortedByDescending { it.prefix.length } }

    public val routeCount: Int = routes.size
    public val keyCount: Int = workspacesByKey.size

    /** The route with the longest prefix of [path] at [host], which may carry a port. */
    public fun match(host: String, path: String): Route? {
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }

    /** The workspace that holds [key]. */
    public fun workspaceOf(key: String): ConfiguredWorkspace? = workspacesByKey[key]
}
