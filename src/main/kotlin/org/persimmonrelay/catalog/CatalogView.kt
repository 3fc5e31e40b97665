package org.persimmonrelay.catalog

/**
 * The configuration in force on this node at one version: immutable, read by traffic threads without locks.
 *
 * Lookups by key digest and by name are constant-time; selector results are computed once per version.
 */
public interface CatalogView {
    /** Number of the last change contained. */
    public val version: Long

    /** The key with [digest] (lower-case hex), withdrawn or not. */
    public fun keyByDigest(digest: String): ApiKey?

    public fun workspace(name: String): Workspace?

    public fun deployment(name: String): Deployment?

    /** All deployments, by name. */
    public fun deployments(): List<Deployment>

    /** Deployments that [workspace] may use, by name. */
    public fun deploymentsFor(workspace: Workspace): List<Deployment>

    /** Backend servers of all pools that [deployment] selects. */
    public fun serversOf(deployment: Deployment): List<BackendServerConfig>

    public fun service(name: String): PlainService?

    public fun serversOf(service: PlainService): List<BackendServerConfig>

    /** True when the service's selector picks [workspace]. */
    public fun mayUse(workspace: Workspace, service: PlainService): Boolean

    /** Limits that bind [workspace] in its use of [deployment]. */
    public fun limitsFor(workspace: Workspace, deployment: Deployment): List<Limit>

    /** Every object, ordered by kind and name. */
    public val objects: List<CatalogObject>
}
