package org.persimmonrelay.admin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.catalog.CatalogDependencies
import org.persimmonrelay.catalog.CatalogService
import org.persimmonrelay.catalog.FixedMembership
import org.persimmonrelay.catalog.KeyFactory
import org.persimmonrelay.catalog.UnreachableNetwork
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.settings.ListenSettings
import org.persimmonrelay.standin.StandInObjectStore
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.timeline.EventSink
import java.security.SecureRandom
import kotlin.random.Random

/** One node's administration API on a free loopback port, backed by an in-memory table. */
class AdminHarness(membership: FixedMembership = FixedMembership("n1")) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val table = StandInTable()
    val catalog = CatalogService(
        dependencies = CatalogDependencies(
            table = ReliableTable(table, SystemClock, Random(2)),
            objects = StandInObjectStore(),
            network = UnreachableNetwork,
            membership = membership,
            clock = SystemClock,
            random = Random(1),
            events = EventSink.NONE,
        ),
        scope = scope,
        keySecret = ByteArray(32) { 7 },
    )
    val server = AdminServer(
        listen = ListenSettings("127.0.0.1", 0),
        authenticator = OperatorAuthenticator(catalog.keys, catalog.digester, SystemClock, BOOTSTRAP_KEY),
        routes = listOf(
            CatalogRoutes(catalog.state, catalog.manager, KeyFactory(SecureRandom(), catalog.digester)),
            StatusRoutes(catalog, membership, SystemClock),
        ),
        events = EventSink.NONE,
    )
    val url: String

    init {
        runBlocking { catalog.follower.pollOnce() }
        url = runBlocking { "http://127.0.0.1:${server.start()}" }
    }

    override fun close() {
        runBlocking { server.stop() }
        scope.cancel()
    }

    companion object {
        const val BOOTSTRAP_KEY = "bootstrap-key-of-a-test"
    }
}
