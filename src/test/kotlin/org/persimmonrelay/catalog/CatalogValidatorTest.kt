package org.persimmonrelay.catalog

import kotlin.test.Test
import kotlin.test.assertEquals

class CatalogValidatorTest {
    private val digest = "0".repeat(64)

    @Test
    fun `all errors are reported together with their paths`() {
        val changes = listOf(
            Workspace("Bad Name", mapOf("k" to "not ok"), weight = 0),
            Pool("p", servers = "zone in ("),
            BackendServerConfig("s", address = "nowhere", domain = "", region = "r"),
            ApiKey("k", workspace = "missing", digest = "short"),
            Limit("l", workspaces = "", tokensPerMinute = 0),
        ).map(CatalogChange::Put)

        val errors = CatalogValidator.validate(DefaultCatalogView.EMPTY, changes)

        assertEquals(
            listOf(
                "workspaces/Bad Name.name",
                "workspaces/Bad Name.labels.k",
                "workspaces/Bad Name.weight",
                "pools/p.servers",
                "servers/s.address",
                "servers/s.domain",
                "keys/k.digest",
                "keys/k.workspace",
                "limits/l.tokensPerMinute",
            ),
            errors.map { it.path },
        )
    }

    @Test
    fun `one change may create a key and its workspace`() {
        val changes =
            listOf(CatalogChange.Put(ApiKey("k", workspace = "w", digest = digest)), CatalogChange.Put(Workspace("w")))

        assertEquals(emptyList(), CatalogValidator.validate(DefaultCatalogView.EMPTY, changes))
    }

    @Test
    fun `a withdrawn key can't be made valid again`() {
        val withdrawn = ApiKey("k", digest = digest, withdrawn = true)
        val before = DefaultCatalogView.EMPTY.with(listOf(CatalogChange.Put(withdrawn)))

        val errors = CatalogValidator.validate(before, listOf(CatalogChange.Put(withdrawn.copy(withdrawn = false))))

        assertEquals(listOf("keys/k.withdrawn"), errors.map { it.path })
    }

    @Test
    fun `a workspace can't be deleted while keys belong to it`() {
        val before = DefaultCatalogView.EMPTY.with(
            listOf(CatalogChange.Put(Workspace("w")), CatalogChange.Put(ApiKey("k", workspace = "w", digest = digest))),
        )
        val workspace = CatalogChange.Delete(ObjectRef(ObjectKind.WORKSPACE, "w"))
        val key = CatalogChange.Delete(ObjectRef(ObjectKind.KEY, "k"))

        assertEquals(1, CatalogValidator.validate(before, listOf(workspace)).size)
        assertEquals(emptyList(), CatalogValidator.validate(before, listOf(workspace, key)))
    }
}
