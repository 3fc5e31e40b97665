package org.persimmonrelay.measure

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
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

/** A fixed configuration with one workspace, one API key, one deployment and one engine. */
internal class BenchCatalog(engineAddress: String) :
    CatalogSource,
    KeyVerifier,
    KeyStateLookup {
    override val view: StateFlow<CatalogView> = MutableStateFlow(BenchView(engineAddress))

    private val accepted = VerifiedKey(ApiKey(name = "bench", digest = ""), Workspace("bench"))

    override fun verify(presented: String, now: Moment): Either<Refusal.NotRun, VerifiedKey> = if (presented ==
        KEY
    ) {
        accepted.right()
    } else {
        Refusal.NotRun(NotRunReason.INVALID_KEY, "Use the benchmark's API key.").left()
    }

    override fun stateOf(keyName: String): KeyState = KeyState.VALID

    companion object {
        const val KEY = "bench-key"
        const val MODEL = "bench-model"
    }
}

private class BenchView(engineAddress: String) : CatalogView {
    private val deployment = Deployment(name = BenchCatalog.MODEL, model = BenchCatalog.MODEL, pools = "")
    private val server = BackendServerConfig(name = "engine", address = engineAddress, domain = "d", region = "r")

    override val version: Long = 1
    override val objects: List<CatalogObject> = emptyList()

    override fun keyByDigest(digest: String): ApiKey? = null

    override fun workspace(name: String): Workspace? = null

    override fun deployment(name: String): Deployment? = deployment.takeIf { it.name == name }

    override fun deployments(): List<Deployment> = listOf(deployment)

    override fun deploymentsFor(workspace: Workspace): List<Deployment> = listOf(deployment)

    override fun serversOf(deployment: Deployment): List<BackendServerConfig> = listOf(server)

    override fun service(name: String): PlainService? = null

    override fun serversOf(service: PlainService): List<BackendServerConfig> = emptyList()

    override fun mayUse(workspace: Workspace, service: PlainService): Boolean = false

    override fun limitsFor(workspace: Workspace, deployment: Deployment): List<Limit> = emptyList()
}
