package org.persimmonrelay.admin

import io.ktor.http.ContentType
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import org.persimmonrelay.catalog.CatalogService
import org.persimmonrelay.catalog.ObjectKind
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.Membership

/** Routes for the responding node's status, its configuration version and the API description. */
public class StatusRoutes(
    private val catalog: CatalogService,
    private val membership: Membership,
    private val clock: Clock,
) : AdminRoutes {
    override fun installIn(route: Route) {
        with(route) {
            get("/status") { call.handle { AdminResult(StatusResponse.serializer(), status()) } }
            get("/version") { call.handle { AdminResult(VersionResponse.serializer(), version()) } }
            get("/openapi.json") { call.respondText(DESCRIPTION, ContentType.Application.Json) }
        }
    }

    private fun version() = VersionResponse(catalog.state.current.version)

    private fun status(): StatusResponse {
        val now = clock.now()
        val view = catalog.state.current
        val members = membership.view.value
        return StatusResponse(
            node = members.self.address.node.value,
            version = view.version,
            ready = catalog.follower.ready.value,
            keysFresh = catalog.keyFreshness.isFresh(now),
            storeConfirmedMillisAgo = catalog.keyFreshness.storeAge(now)?.inWholeMilliseconds,
            objects = ObjectKind.entries.associate { it.plural to view.count(it) },
            members = members.members.sortedBy { it.address.node.value }.map(::describe),
        )
    }

    private fun describe(member: Member) = MemberStatus(
        node = member.address.node.value,
        domain = member.domain.value,
        region = member.region.value,
        state = member.state.name.lowercase(),
    )

    private companion object {
        val DESCRIPTION: String by lazy {
            checkNotNull(StatusRoutes::class.java.getResource("/openapi.json")) { "openapi.json is not in the build." }
                .readText()
        }
    }
}
