package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.MutableStateFlow
import org.persimmonrelay.catalog.ApiKey
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.CatalogSource
import org.persimmonrelay.catalog.CatalogView
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.KeyState
import org.persimmonrelay.catalog.KeyStateLookup
import org.persimmonrelay.catalog.KeyVerifier
import org.persimmonrelay.catalog.Limit
import org.persimmonrelay.catalog.PlainService
import org.persimmonrelay.catalog.VerifiedKey
import org.persimmonrelay.catalog.Workspace
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import java.util.concurrent.ConcurrentHashMap

/** An in-memory catalog that tests change directly; its keys are stored in plain text. */
class FakeCatalog :
    CatalogSource,
    KeyVerifier,
    KeyStateLookup {
    override val view = MutableStateFlow<CatalogView>(FakeCatalogView())
    val keys = ConcurrentHashMap<String, VerifiedKey>()
    val states = ConcurrentHashMap<String, KeyState>()

    fun issue(presented: String, workspace: Workspace) {
        keys[presented] = VerifiedKey(ApiKey(name = "key-of-$presented", digest = ""), workspace)
    }

    fun setKeyState(presented: String, state: KeyState) {
        states["key-of-$presented"] = state
    }

    fun change(transform: (FakeCatalogView) -> FakeCatalogView) {
        view.value = transform(view.value as FakeCatalogView)
    }

    override fun verify(presented: String, now: Moment): Either<Refusal.NotRun, VerifiedKey> {
        val key = keys[presented]
        if (key == null || stateOf(key.key.name) != KeyState.VALID) {
            return Refusal.NotRun(NotRunReason.INVALID_KEY, "The key isn't valid.").left()
        }
        return key.right()
    }

    override fun stateOf(keyName: String): KeyState = states[keyName] ?: KeyState.VALID
}

/** One version of [FakeCatalog]: every server serves every deployment and service. */
data class FakeCatalogView(
    val deployments: List<Deployment> = emptyList(),
    val servers: List<BackendServerConfig> = emptyList(),
    val services: List<PlainService> = emptyList(),
    val serviceServers: List<BackendServerConfig> = emptyList(),
    val closedTo: Set<String> = emptySet(),
) : CatalogView {
    override val version: Long = 1
    override val objects: List<CatalogObject> = emptyList()

    override fun keyByDigest(digest: String): ApiKey? = null

    override fun workspace(name: String): Workspace? = null

    override fun deployment(name: String): Deployment? = deployments.find { it.name == name }

    override fun deployments(): List<Deployment> = deployments

    override fun deploymentsFor(workspace: Workspace): List<Deployment> =
        deployments.filter { workspace.name !in closedTo }

    override fun serversOf(deployment: Deployment): List<BackendServerConfig> = servers

    override fun service(name: String): PlainService? = services.find { it.name == name }

    override fun serversOf(service: PlainService): List<BackendServerConfig> = serviceServers

    override fun mayUse(workspace: Workspace, service: PlainService): Boolean = workspace.name !in closedTo

    override fun limitsFor(workspace: Workspace, deployment: Deployment): List<Limit> = emptyList()
}
