package org.persimmonrelay.catalog

import kotlin.random.Random

/** Creates small configurations and random changes for tests. */
object CatalogSamples {
    private val ZONES = listOf("a", "b", "c")

    fun view(workspaces: Int, servers: Int): DefaultCatalogView {
        val objects = (1..workspaces).map { workspace(it, ZONES[it % ZONES.size]) } +
            (1..servers).map { server(it, ZONES[it % ZONES.size]) } +
            listOf(
                Pool("left", mapOf("side" to "left"), servers = "zone in (a, b)"),
                Pool("right", mapOf("side" to "right"), servers = "zone!=a"),
                Deployment("chat", model = "m", pools = "side=left", workspaces = "zone=a"),
                Deployment("draft", model = "m", pools = "side", workspaces = ""),
                PlainService("booking", servers = "zone=c", workspaces = "zone notin (b)"),
                Limit("slow", workspaces = "zone=b", tokensPerMinute = 10),
            )
        return DefaultCatalogView.EMPTY.with(objects.map(CatalogChange::Put))
    }

    fun randomChanges(view: DefaultCatalogView, random: Random): List<CatalogChange> =
        List(random.nextInt(1, 4)) { randomChange(view, random) }.distinctBy { it.ref }

    fun workspace(number: Int, zone: String) = Workspace("w$number", mapOf("zone" to zone))

    fun server(number: Int, zone: String) = BackendServerConfig(
        "s$number",
        mapOf("zone" to zone),
        address = "127.0.0.1:$number",
        domain = "d",
        region = "r",
    )

    private fun randomChange(view: DefaultCatalogView, random: Random): CatalogChange = when (random.nextInt(6)) {
        0 -> CatalogChange.Put(workspace(random.nextInt(1, 8), ZONES.random(random)))
        1 -> CatalogChange.Put(server(random.nextInt(1, 8), ZONES.random(random)))
        2 -> CatalogChange.Put(ApiKey("k${random.nextInt(3)}", digest = "d${random.nextInt(1_000_000)}"))
        3 -> CatalogChange.Put(Pool("left", mapOf("side" to "left"), servers = "zone=${ZONES.random(random)}"))
        4 -> CatalogChange.Put(
            Deployment("chat", model = "m", pools = "side", workspaces = "zone=${ZONES.random(random)}"),
        )
        else -> CatalogChange.Delete(view.objects.random(random).ref)
    }
}
