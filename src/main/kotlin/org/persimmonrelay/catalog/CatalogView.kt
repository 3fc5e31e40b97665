package org.persimmonrelay.catalog

/**
 * The configuration at one version. Immutable, so that threads that serve requests read it without locks.
 *
 * Lookups by key digest and by name take constant time. Selector results are computed at most once per version.
 */
public interface CatalogView {
    /** The version of the last change included. */
    public val version: Long

    /** The key with [digest] (lower-case hex), withdrawn or not. */
    public fun keyByDigest(digest: String): ApiKey?

    public fun workspace(name: String): Workspace?

    public fun deployment(name: String): Deployment?

    /** All deployments, sorted by name. */
    public fun deployments(): List<Deployment>

    /** Deployments that [workspace] may use, sorted by name. */
    public fun deploymentsFor(workspace: Workspace): List<Deployment>

    /** Backend servers of all pools that [deployment] selects. */
    public fun serversOf(deployment: Deployment): List<BackendServerConfig>

    public fun service(name: String): PlainService?

    public fun serversOf(service: PlainService): List<BackendServerConfig>

    /** True when the selector of [service] matches [workspace]. */
    public fun mayUse(workspace: Workspace, service: PlainService): Boolean

    /** Limits that apply to [workspace] when it uses [deployment]. */
    public fun limitsFor(workspace: Workspace, deployment: Deployment): List<Limit>

    /** All objects, sorted by kind and name. */
    public val objects: List<CatalogObject>
}
