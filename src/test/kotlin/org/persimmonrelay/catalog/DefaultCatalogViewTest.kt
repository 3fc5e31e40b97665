package org.persimmonrelay.catalog

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertSame

class DefaultCatalogViewTest {
    @Test
    fun `a new digest of a key replaces the previous one`() {
        val first = DefaultCatalogView.EMPTY.with(listOf(CatalogChange.Put(ApiKey("k", digest = "d1"))))

        val second = first.with(listOf(CatalogChange.Put(ApiKey("k", digest = "d2"))))

        assertNull(second.keyByDigest("d1"))
        assertEquals("k", second.keyByDigest("d2")?.name)
        assertEquals("k", first.keyByDigest("d1")?.name)
    }

    @Test
    fun `a change of a key reuses cached results of other kinds`() {
        val first = CatalogSamples.view(workspaces = 5, servers = 6)
        val deployment = first.deployment("chat")!!
        val servers = first.serversOf(deployment)

        val second = first.with(listOf(CatalogChange.Put(ApiKey("new", digest = "d"))))

        assertSame(servers, second.serversOf(deployment))
    }

    @Property(seed = "7303", tries = 300)
    fun `an incrementally updated view gives the same results as a rebuilt one`(@ForAll("seeds") seed: Long) {
        val random = Random(seed)
        var view = CatalogSamples.view(workspaces = 4, servers = 5)
        repeat(12) {
            view = view.with(CatalogSamples.randomChanges(view, random))
            queryAll(view)
        }

        val rebuilt = DefaultCatalogView.of(view.version, view.storedObjects())

        assertEquals(queryAll(rebuilt), queryAll(view))
    }

    @Provide
    fun seeds(): Arbitrary<Long> = Arbitraries.longs()

    private fun queryAll(view: DefaultCatalogView): List<Any?> {
        val workspaces = view.select(ObjectKind.WORKSPACE, Selector.ALL).map { it as Workspace }
        val deployments = view.select(ObjectKind.DEPLOYMENT, Selector.ALL).map { it as Deployment }
        val services = view.select(ObjectKind.SERVICE, Selector.ALL).map { it as PlainService }
        return listOf(
            view.objects,
            workspaces.map(view::deploymentsFor),
            workspaces.map { workspace -> deployments.map { view.limitsFor(workspace, it) } },
            workspaces.map { workspace -> services.map { view.mayUse(workspace, it) } },
            deployments.map { view.serversOf(it) },
            services.map { view.serversOf(it) },
            view.objects.filterIsInstance<ApiKey>().map { view.keyByDigest(it.digest) },
        )
    }
}
